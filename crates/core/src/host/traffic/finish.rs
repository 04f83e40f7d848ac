//! Position checks of reads, confirmation of commits, and the end of requests and sessions.

use std::time::{Duration, Instant};

use tanagerdeal_wire::member::LogPosition;

use super::{admit, refuse};
use crate::confirm::{ConfirmOutcome, ConfirmRequest, ConfirmWaiter};
use crate::host::HostState;
use crate::message::caller::{CallerAnswer, RequestEnding};
use crate::message::{CallTag, DispatchKey, EndpointKey, GroupKey, HostOutput, SessionKey};
use crate::routing::PositionCheck;
use crate::session::{DispatchEntry, WaitStage};
use crate::verdict::{RefusalCode, RequestRefusal, RunVerdict};

/// Refusal that tells a session that one of its writes was lost in a failover.
pub(super) fn write_lost(verdict: RunVerdict) -> RequestRefusal {
    let message = "a write of the session was lost in a failover; the session goes on without it";
    RequestRefusal { verdict, ..RequestRefusal::not_run(RefusalCode::WriteLost, message) }
}

/// Replaces a watermark whose write was lost by the position from which the session continues.
pub(super) fn replace_watermark(
    state: &mut HostState,
    session: SessionKey,
    group: GroupKey,
    position: LogPosition,
) {
    let Some(name) = state.endpoints.group_name(group) else { return };
    let Some(entry) = state.sessions.entries.get_mut(session) else { return };
    entry.marks.entry(name.clone()).or_default().position = position;
    state.counters.writes_lost += 1;
}

/// Checks whether the position at which a response was read contains the session's watermark.
pub(super) fn check_read(
    state: &mut HostState,
    dispatch: DispatchKey,
    position: LogPosition,
) -> CallerAnswer {
    let Some(active) = state.sessions.dispatches.get(dispatch) else {
        let message = "the request has ended";
        return CallerAnswer::Refused(RequestRefusal::not_run(RefusalCode::Unavailable, message));
    };
    let (session, group, endpoint) = (active.session, active.group, active.endpoint);
    let mark = match state.endpoints.group_name(group) {
        Some(name) => state.sessions.entries.get(session).and_then(|entry| entry.marks.get(name)),
        None => None,
    };
    let watermark = mark.map_or(LogPosition::default(), |mark| mark.position);
    match state.endpoints.check(group, watermark, position) {
        PositionCheck::Contained => {
            raise_watermark(state, session, group, position);
            CallerAnswer::ReadAccepted
        }
        PositionCheck::Behind => {
            state.counters.reads_rejected += 1;
            exclude(state, session, endpoint, RunVerdict::Ran);
            let message = "the endpoint has not caught up with the session";
            let refusal = RequestRefusal::not_run(RefusalCode::Unavailable, message);
            CallerAnswer::Refused(RequestRefusal { verdict: RunVerdict::Ran, ..refusal })
        }
        PositionCheck::WriteLost(start) => {
            replace_watermark(state, session, group, start);
            CallerAnswer::Refused(write_lost(RunVerdict::Ran))
        }
    }
}

/// Records that an endpoint failed a request, so that a retry prefers other endpoints.
fn exclude(state: &mut HostState, session: SessionKey, endpoint: EndpointKey, verdict: RunVerdict) {
    let entry = state.sessions.entries.get_mut(session);
    if let Some(attempt) = entry.and_then(|entry| entry.attempt.as_mut()) {
        attempt.verdict = attempt.verdict.max(verdict);
        attempt.excluded.push(endpoint);
    }
}

fn raise_watermark(
    state: &mut HostState,
    session: SessionKey,
    group: GroupKey,
    position: LogPosition,
) {
    let Some(name) = state.endpoints.group_name(group) else { return };
    if let Some(entry) = state.sessions.entries.get_mut(session) {
        entry.marks.entry(name.clone()).or_default().raise(position);
    }
}

fn adopt_watermark(
    state: &mut HostState,
    session: SessionKey,
    group: GroupKey,
    position: LogPosition,
) {
    let Some(name) = state.endpoints.group_name(group) else { return };
    if let Some(entry) = state.sessions.entries.get_mut(session) {
        entry.marks.entry(name.clone()).or_default().adopt(position);
    }
}

/// Makes a commit wait for its confirmation. The endpoint has finished with it, so its connection
/// and its slot in the endpoint's concurrency window are released now.
pub(super) fn confirm_commit(
    state: &mut HostState,
    now: Instant,
    tag: CallTag,
    dispatch: DispatchKey,
    position: LogPosition,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(active) = state.sessions.dispatches.get_mut(dispatch) else {
        let message = "the request ended before its commit was confirmed";
        return refuse(outputs, tag, RequestRefusal::may_have_run(message));
    };
    if let Some(earlier) = active.commit.replace(tag) {
        let message = "another confirmation of the same request was asked for";
        refuse(outputs, earlier, RequestRefusal::may_have_run(message));
    }
    let (group, deadline, session) = (active.group, active.deadline, active.session);
    end_statement(state, now, dispatch, false);
    let route = state.sessions.entries.get(session).map(|entry| &entry.route);
    let record = route.and_then(|route| state.catalog.route(route));
    let durability = record.map(|route| route.durability).unwrap_or_default();
    let wait = u64::from(state.catalog.configuration().replication_wait_ms);
    state.confirms.add(ConfirmRequest {
        waiter: ConfirmWaiter::Commit(dispatch),
        group,
        position,
        since: now,
        replicated_by: now + Duration::from_millis(wait),
        deadline,
        durability,
    });
}

/// Processes the waits for confirmation that have ended.
pub(super) fn process_confirmations(
    state: &mut HostState,
    now: Instant,
    outputs: &mut Vec<HostOutput>,
) {
    for result in state.confirms.take_results() {
        match result.waiter {
            ConfirmWaiter::Commit(dispatch) => {
                answer_commit(state, dispatch, result.outcome, outputs);
            }
            ConfirmWaiter::Position(session) => {
                finish_position_wait(state, now, session, result.outcome, outputs);
            }
        }
    }
}

fn answer_commit(
    state: &mut HostState,
    dispatch: DispatchKey,
    outcome: ConfirmOutcome,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(active) = state.sessions.dispatches.get_mut(dispatch) else { return };
    let Some(tag) = active.commit.take() else { return };
    let (session, group, endpoint) = (active.session, active.group, active.endpoint);
    let message = match outcome {
        ConfirmOutcome::Confirmed { position, replicated } => {
            adopt_watermark(state, session, group, position);
            state.counters.commits_acknowledged += 1;
            state.counters.acks_unreplicated += u64::from(!replicated);
            let secret = &state.profile.fleet_secret;
            let entry = state.sessions.entries.get(session);
            let token = entry.map(|entry| entry.token(secret)).unwrap_or_default();
            let answer = CallerAnswer::CommitConfirmed { token };
            return outputs.push(HostOutput::AnswerCaller(tag, answer));
        }
        ConfirmOutcome::Fenced => {
            state.counters.commits_fenced += 1;
            "the primary was replaced before the commit was confirmed"
        }
        ConfirmOutcome::Expired => "the commit was not confirmed in time",
    };
    exclude(state, session, endpoint, RunVerdict::MayHaveRun);
    state.counters.outcomes_unknown += 1;
    refuse(outputs, tag, RequestRefusal::may_have_run(message));
}

fn finish_position_wait(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    outcome: ConfirmOutcome,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(entry) = state.sessions.entries.get_mut(session) else { return };
    entry.open_positions = entry.open_positions.saturating_sub(1);
    let group = match &entry.waiting {
        // This result may belong to an earlier, abandoned request and be older than what the client
        // has seen since. Only the last outstanding one counts.
        Some(request) if request.stage == WaitStage::Position && entry.open_positions == 0 => {
            request.group
        }
        _ => return,
    };
    match outcome {
        ConfirmOutcome::Confirmed { position, .. } => {
            adopt_watermark(state, session, group, position);
            admit::enqueue(state, now, session, outputs);
        }
        // The primary is being replaced; wait for a position of the next one.
        ConfirmOutcome::Fenced => admit::await_primary_position(state, now, session),
        ConfirmOutcome::Expired => admit::refuse_unconfirmed(state, now, session, outputs),
    }
}

/// Ends a request. An open transaction keeps its endpoint.
pub(super) fn end_request(
    state: &mut HostState,
    now: Instant,
    dispatch: DispatchKey,
    (ending, seen, in_transaction): (RequestEnding, Option<LogPosition>, bool),
    outputs: &mut Vec<HostOutput>,
) {
    let is_lost = ending == RequestEnding::Lost;
    end_statement(state, now, dispatch, is_lost || ending == RequestEnding::NotSent);
    let Some(active) = state.sessions.dispatches.get_mut(dispatch) else { return };
    let (session, group, endpoint) = (active.session, active.group, active.endpoint);
    if let Some(tag) = active.commit.take() {
        let message = "the request ended before its commit was confirmed";
        refuse(outputs, tag, RequestRefusal::may_have_run(message));
    }
    match (ending, seen) {
        (RequestEnding::Lost, _) => exclude(state, session, endpoint, RunVerdict::MayHaveRun),
        (RequestEnding::NotSent, _) => exclude(state, session, endpoint, RunVerdict::NotRun),
        (RequestEnding::Answered, Some(position)) => {
            raise_if_contained(state, session, group, position);
        }
        (RequestEnding::Answered | RequestEnding::Failed, _) => {}
    }
    forget_attempt(state, session);
    match in_transaction && !is_lost {
        true => keep_transaction(state, dispatch),
        false => remove_dispatch(state, dispatch),
    }
}

/// Forgets a request that no endpoint has failed. A failed one is kept because it may be retried.
fn forget_attempt(state: &mut HostState, session: SessionKey) {
    if let Some(entry) = state.sessions.entries.get_mut(session) {
        entry.attempt.take_if(|attempt| attempt.excluded.is_empty());
    }
}

/// Raises the watermark to a position that was read, unless the watermark was lost in a failover
/// meanwhile.
fn raise_if_contained(
    state: &mut HostState,
    session: SessionKey,
    group: GroupKey,
    position: LogPosition,
) {
    let Some(name) = state.endpoints.group_name(group) else { return };
    let mark = state.sessions.entries.get(session).and_then(|entry| entry.marks.get(name));
    let watermark = mark.map_or(LogPosition::default(), |mark| mark.position);
    if state.endpoints.check(group, watermark, position) == PositionCheck::Contained {
        raise_watermark(state, session, group, position);
    }
}

fn keep_transaction(state: &mut HostState, dispatch: DispatchKey) {
    let Some(active) = state.sessions.dispatches.get_mut(dispatch) else { return };
    active.in_transaction = true;
    if !active.is_holding {
        active.is_holding = true;
        state.queues.hold(active.endpoint);
    }
}

/// Ends the running statement of a dispatch. `is_lost` is true if its connection failed.
fn end_statement(state: &mut HostState, now: Instant, dispatch: DispatchKey, is_lost: bool) {
    let Some(active) = state.sessions.dispatches.get_mut(dispatch) else { return };
    if !std::mem::take(&mut active.is_running) {
        return;
    }
    let took = now.saturating_duration_since(active.started);
    let measured = (!is_lost).then_some(took);
    state.queues.end(now, active.endpoint, active.lane, measured);
    state.endpoints.end(now, active.endpoint, is_lost, took);
    if active.commit.is_some() && std::mem::take(&mut active.is_holding) {
        state.queues.release(active.endpoint);
    }
}

/// Removes a dispatch and releases its connection. A session that was to close with it is removed
/// as well.
pub(super) fn remove_dispatch(state: &mut HostState, dispatch: DispatchKey) {
    let Some(active) = state.sessions.dispatches.remove(dispatch) else { return };
    release_connection(state, &active);
    if let Some(entry) = state.sessions.entries.get_mut(active.session) {
        if entry.dispatch == Some(dispatch) {
            entry.dispatch = None;
        }
        if entry.closing.is_some() {
            state.sessions.remove(active.session);
        }
    }
}

fn release_connection(state: &mut HostState, active: &DispatchEntry) {
    if active.is_holding {
        state.queues.release(active.endpoint);
    }
}

/// Removes a session with its waiting request. A request that still runs loses its result.
pub(super) fn close_session(state: &mut HostState, now: Instant, session: SessionKey) {
    admit::take_waiting(state, session);
    let dispatch = state.sessions.entries.get(session).and_then(|entry| entry.dispatch);
    if let Some(dispatch) = dispatch {
        end_statement(state, now, dispatch, false);
        remove_dispatch(state, dispatch);
    }
    state.sessions.remove(session);
}

//! Positions of reads, confirmations of commits, and the end of requests and sessions.

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

/// The refusal that tells a session that a write of it is gone.
pub(super) fn write_lost(verdict: RunVerdict) -> RequestRefusal {
    let message = "a write of the session was lost in a failover; the session goes on without it";
    RequestRefusal { verdict, ..RequestRefusal::not_run(RefusalCode::WriteLost, message) }
}

/// Replaces a watermark that was lost.
pub(super) fn replace_mark(
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

/// Judges the position at which a response was read.
pub(super) fn check_read(
    state: &mut HostState,
    dispatch: DispatchKey,
    position: LogPosition,
) -> CallerAnswer {
    let Some(open) = state.sessions.dispatches.get(dispatch) else {
        let message = "the request has ended";
        return CallerAnswer::Refused(RequestRefusal::not_run(RefusalCode::Unavailable, message));
    };
    let (session, group, endpoint) = (open.session, open.group, open.endpoint);
    let mark = match state.endpoints.group_name(group) {
        Some(name) => state.sessions.entries.get(session).and_then(|entry| entry.marks.get(name)),
        None => None,
    };
    let watermark = mark.map_or(LogPosition::default(), |mark| mark.position);
    match state.endpoints.check(group, watermark, position) {
        PositionCheck::Contained => {
            raise_mark(state, session, group, position);
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
            replace_mark(state, session, group, start);
            CallerAnswer::Refused(write_lost(RunVerdict::Ran))
        }
    }
}

/// Remembers that an endpoint failed a request, for its next placement.
fn exclude(state: &mut HostState, session: SessionKey, endpoint: EndpointKey, verdict: RunVerdict) {
    let entry = state.sessions.entries.get_mut(session);
    if let Some(attempt) = entry.and_then(|entry| entry.attempt.as_mut()) {
        attempt.verdict = attempt.verdict.max(verdict);
        attempt.excluded.push(endpoint);
    }
}

fn raise_mark(state: &mut HostState, session: SessionKey, group: GroupKey, position: LogPosition) {
    let Some(name) = state.endpoints.group_name(group) else { return };
    if let Some(entry) = state.sessions.entries.get_mut(session) {
        entry.marks.entry(name.clone()).or_default().raise(position);
    }
}

fn adopt_mark(state: &mut HostState, session: SessionKey, group: GroupKey, position: LogPosition) {
    let Some(name) = state.endpoints.group_name(group) else { return };
    if let Some(entry) = state.sessions.entries.get_mut(session) {
        entry.marks.entry(name.clone()).or_default().adopt(position);
    }
}

/// Makes a commit wait for its confirmation. The endpoint has finished with it, so its connection
/// and its place in the window are free from here on.
pub(super) fn confirm_commit(
    state: &mut HostState,
    now: Instant,
    tag: CallTag,
    dispatch: DispatchKey,
    position: LogPosition,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(open) = state.sessions.dispatches.get_mut(dispatch) else {
        let message = "the request ended before its commit was confirmed";
        return refuse(outputs, tag, RequestRefusal::may_have_run(message));
    };
    if let Some(earlier) = open.commit.replace(tag) {
        let message = "another confirmation of the same request was asked for";
        refuse(outputs, earlier, RequestRefusal::may_have_run(message));
    }
    let (group, deadline, session) = (open.group, open.deadline, open.session);
    release(state, now, dispatch, false);
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

/// Ends the waits for confirmation that have a result.
pub(super) fn take_confirmations(
    state: &mut HostState,
    now: Instant,
    outputs: &mut Vec<HostOutput>,
) {
    for result in state.confirms.take_results() {
        match result.waiter {
            ConfirmWaiter::Commit(dispatch) => {
                end_commit(state, dispatch, result.outcome, outputs);
            }
            ConfirmWaiter::Position(session) => {
                end_position(state, now, session, result.outcome, outputs);
            }
        }
    }
}

fn end_commit(
    state: &mut HostState,
    dispatch: DispatchKey,
    outcome: ConfirmOutcome,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(open) = state.sessions.dispatches.get_mut(dispatch) else { return };
    let Some(tag) = open.commit.take() else { return };
    let (session, group, endpoint) = (open.session, open.group, open.endpoint);
    let message = match outcome {
        ConfirmOutcome::Confirmed { position, replicated } => {
            adopt_mark(state, session, group, position);
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

fn end_position(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    outcome: ConfirmOutcome,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(entry) = state.sessions.entries.get_mut(session) else { return };
    entry.open_positions = entry.open_positions.saturating_sub(1);
    let group = match &entry.waiting {
        // A result for an earlier, abandoned request may be older than what the client knows.
        Some(request) if request.stage == WaitStage::Position && entry.open_positions == 0 => {
            request.group
        }
        _ => return,
    };
    match outcome {
        ConfirmOutcome::Confirmed { position, .. } => {
            adopt_mark(state, session, group, position);
            admit::enqueue(state, now, session, outputs);
        }
        // The primary is being replaced; the next one is asked.
        ConfirmOutcome::Fenced => admit::await_position(state, now, session),
        ConfirmOutcome::Expired => admit::refuse_unconfirmed(state, now, session, outputs),
    }
}

/// Ends a request; an open transaction keeps its endpoint.
pub(super) fn end_request(
    state: &mut HostState,
    now: Instant,
    dispatch: DispatchKey,
    (ending, seen, in_transaction): (RequestEnding, Option<LogPosition>, bool),
    outputs: &mut Vec<HostOutput>,
) {
    let is_lost = ending == RequestEnding::Lost;
    release(state, now, dispatch, is_lost || ending == RequestEnding::NotSent);
    let Some(open) = state.sessions.dispatches.get_mut(dispatch) else { return };
    let (session, group, endpoint) = (open.session, open.group, open.endpoint);
    if let Some(tag) = open.commit.take() {
        let message = "the request ended before its commit was confirmed";
        refuse(outputs, tag, RequestRefusal::may_have_run(message));
    }
    match (ending, seen) {
        (RequestEnding::Lost, _) => exclude(state, session, endpoint, RunVerdict::MayHaveRun),
        (RequestEnding::NotSent, _) => exclude(state, session, endpoint, RunVerdict::NotRun),
        (RequestEnding::Answered, Some(position)) => {
            raise_checked(state, session, group, position);
        }
        (RequestEnding::Answered | RequestEnding::Failed, _) => {}
    }
    forget_attempt(state, session);
    match in_transaction && !is_lost {
        true => keep_transaction(state, dispatch),
        false => drop_dispatch(state, dispatch),
    }
}

/// Forgets a request that has ended well; one that failed on an endpoint may be placed again.
fn forget_attempt(state: &mut HostState, session: SessionKey) {
    if let Some(entry) = state.sessions.entries.get_mut(session) {
        entry.attempt.take_if(|attempt| attempt.excluded.is_empty());
    }
}

/// Raises a mark to a position that was read, unless the mark was lost in between.
fn raise_checked(
    state: &mut HostState,
    session: SessionKey,
    group: GroupKey,
    position: LogPosition,
) {
    let Some(name) = state.endpoints.group_name(group) else { return };
    let mark = state.sessions.entries.get(session).and_then(|entry| entry.marks.get(name));
    let watermark = mark.map_or(LogPosition::default(), |mark| mark.position);
    if state.endpoints.check(group, watermark, position) == PositionCheck::Contained {
        raise_mark(state, session, group, position);
    }
}

fn keep_transaction(state: &mut HostState, dispatch: DispatchKey) {
    let Some(open) = state.sessions.dispatches.get_mut(dispatch) else { return };
    open.in_transaction = true;
    if !open.is_holding {
        open.is_holding = true;
        state.queues.hold(open.endpoint);
    }
}

/// Ends the statement of a request; `is_lost` when its connection failed.
fn release(state: &mut HostState, now: Instant, dispatch: DispatchKey, is_lost: bool) {
    let Some(open) = state.sessions.dispatches.get_mut(dispatch) else { return };
    if !std::mem::take(&mut open.is_running) {
        return;
    }
    let took = now.saturating_duration_since(open.started);
    let measured = (!is_lost).then_some(took);
    state.queues.end(now, open.endpoint, open.lane, measured);
    state.endpoints.end(now, open.endpoint, is_lost, took);
    if open.commit.is_some() && std::mem::take(&mut open.is_holding) {
        state.queues.release(open.endpoint);
    }
}

/// Frees the endpoint of a request, and closes its session if that was to end with it.
pub(super) fn drop_dispatch(state: &mut HostState, dispatch: DispatchKey) {
    let Some(open) = state.sessions.dispatches.remove(dispatch) else { return };
    free(state, &open);
    if let Some(entry) = state.sessions.entries.get_mut(open.session) {
        if entry.dispatch == Some(dispatch) {
            entry.dispatch = None;
        }
        if entry.closing.is_some() {
            state.sessions.remove(open.session);
        }
    }
}

fn free(state: &mut HostState, open: &DispatchEntry) {
    if open.is_holding {
        state.queues.release(open.endpoint);
    }
}

/// Forgets a session. A request of it that still runs is lost.
pub(super) fn close_session(state: &mut HostState, now: Instant, session: SessionKey) {
    admit::take_waiting(state, session);
    let dispatch = state.sessions.entries.get(session).and_then(|entry| entry.dispatch);
    if let Some(dispatch) = dispatch {
        release(state, now, dispatch, false);
        drop_dispatch(state, dispatch);
    }
    state.sessions.remove(session);
}

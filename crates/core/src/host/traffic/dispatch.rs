//! Dispatch of waiting requests to endpoints.

use std::time::{Duration, Instant};

use tanagerdeal_wire::member::LogPosition;

use super::{admit, connections, finish, place};
use crate::host::HostState;
use crate::message::caller::{CallerAnswer, DispatchPlan};
use crate::message::{DispatchKey, EndpointKey, GroupKey, HostOutput, SessionKey};
use crate::routing::{RouteChoice, RouteQuery};
use crate::schedule::{QueuePass, QueueTicket, WorkLane};
use crate::session::{DispatchEntry, WaitStage, WaitingRequest};
use crate::verdict::{RefusalCode, RequestRefusal, RunVerdict};

/// Number of members tried for a read before it waits for capacity.
const MAX_MEMBERS_TRIED: usize = 5;

/// Retry delay for a request that has no endpoint when routing cannot tell when it will have one. A
/// failover is usually over by then.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Where a request can run, given the positions and free connections of the endpoints.
enum Placement {
    Endpoint(EndpointKey, LogPosition),
    /// All usable endpoints are at capacity; this is the preferred one.
    Full(EndpointKey),
    /// No endpoint is usable yet.
    NotYet,
    WriteLost(LogPosition),
    Unavailable(Instant),
}

/// Places the waiting requests of all groups that can run now.
pub(super) fn place_waiting(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    for group in state.queues.backlogged() {
        place_group(state, now, group, outputs);
    }
}

fn place_group(
    state: &mut HostState,
    now: Instant,
    group: GroupKey,
    outputs: &mut Vec<HostOutput>,
) {
    let policy = state.profile.policies.scheduler;
    let mut pass = QueuePass::default();
    while let Some((ticket, session)) = state.queues.next(policy, group, &pass) {
        match choose_placement(state, now, session) {
            Some(Placement::Endpoint(endpoint, required)) => {
                state.queues.serve(now, &ticket);
                start_request(state, now, session, (endpoint, required), outputs);
            }
            Some(Placement::Full(endpoint)) => {
                state.queues.note_full(now, group, ticket.lane);
                state.queues.note_short(group, ticket.lane, endpoint);
                block_lane(&mut pass, &ticket);
            }
            Some(Placement::NotYet) if ticket.lane == WorkLane::Write => {
                state.queues.note_unroutable(group, ticket.lane);
                pass.writes_blocked = true;
            }
            Some(Placement::NotYet) => pass.pass_over(&ticket),
            Some(Placement::WriteLost(position)) => {
                finish::replace_watermark(state, session, group, position);
                let refusal = finish::write_lost(RunVerdict::NotRun);
                admit::refuse_waiting(state, session, refusal, outputs);
            }
            Some(Placement::Unavailable(retry_at)) => {
                let refusal = unavailable(state, retry_at);
                admit::refuse_waiting(state, session, refusal, outputs);
            }
            // The session has been removed; drop its request so that the queue does not return it
            // again.
            None => state.queues.remove(&ticket),
        }
    }
}

fn block_lane(pass: &mut QueuePass, ticket: &QueueTicket) {
    match ticket.lane {
        WorkLane::Write => pass.writes_blocked = true,
        WorkLane::Read => {
            pass.full.insert((ticket.account.clone(), ticket.lane));
        }
    }
}

/// Refusal of a request that no endpoint can serve.
pub(super) fn unavailable(state: &mut HostState, retry_at: Instant) -> RequestRefusal {
    state.counters.refused_unavailable += 1;
    let message = "no endpoint can serve the request now";
    RequestRefusal::not_run(RefusalCode::Unavailable, message).retry_at(retry_at)
}

/// Time at which a waiting request without an endpoint may get one. `None` if it only waits for
/// capacity.
pub(super) fn unroutable_until(
    state: &HostState,
    now: Instant,
    session: SessionKey,
) -> Option<Instant> {
    let request = state.sessions.entries.get(session)?.waiting.as_ref()?;
    let later = now + UNAVAILABLE_RETRY_DELAY;
    match (request.stage, choose_placement(state, now, session)) {
        (WaitStage::Position, _) | (WaitStage::Endpoint, Some(Placement::NotYet)) => Some(later),
        (WaitStage::Endpoint, Some(Placement::Unavailable(at))) => Some(at.min(later).max(now)),
        _ => None,
    }
}

fn choose_placement(state: &HostState, now: Instant, session: SessionKey) -> Option<Placement> {
    let entry = state.sessions.entries.get(session)?;
    let request = entry.waiting.as_ref()?;
    let name = state.endpoints.group_name(request.group);
    let mark = name.and_then(|name| entry.marks.get(name));
    let query = RouteQuery {
        group: request.group,
        is_write: request.lane == WorkLane::Write,
        watermark: mark.map_or(LogPosition::default(), |mark| mark.position),
        max_age: place::read_age(state, entry),
        excluded: Vec::new(),
        deadline: request.attempt.deadline,
    };
    let failed = &request.attempt.excluded;
    // Writes can run only on the primary, so they exclude no endpoint. A failed read may return to
    // the same endpoint if no other can serve it.
    if request.lane == WorkLane::Read && !failed.is_empty() {
        let choice = choose_with_capacity(
            state,
            now,
            RouteQuery { excluded: failed.clone(), ..query.clone() },
        );
        if !matches!(choice, Placement::NotYet | Placement::Unavailable(_)) {
            return Some(choice);
        }
    }
    Some(choose_with_capacity(state, now, query))
}

/// Chooses an endpoint with free capacity, and excludes each one that turns out to be full.
fn choose_with_capacity(state: &HostState, now: Instant, mut query: RouteQuery) -> Placement {
    let mut full = None;
    for _ in 0..MAX_MEMBERS_TRIED {
        let choice = match (state.endpoints.choose(now, &query), full) {
            (RouteChoice::Endpoint { endpoint, required }, _) => {
                if connections::has_capacity(state, now, endpoint) {
                    return Placement::Endpoint(endpoint, required);
                }
                let first = *full.get_or_insert(endpoint);
                if query.is_write || query.excluded.contains(&endpoint) {
                    return Placement::Full(first);
                }
                query.excluded.push(endpoint);
                continue;
            }
            (_, Some(first)) => Placement::Full(first),
            (RouteChoice::WaitUntil(_), None) => Placement::NotYet,
            (RouteChoice::WriteLost(position), None) => Placement::WriteLost(position),
            (RouteChoice::Unavailable(retry_at), None) => Placement::Unavailable(retry_at),
        };
        return choice;
    }
    full.map_or(Placement::NotYet, Placement::Full)
}

/// Starts a request on the chosen endpoint.
fn start_request(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    (endpoint, required): (EndpointKey, LogPosition),
    outputs: &mut Vec<HostOutput>,
) {
    let Some(entry) = state.sessions.entries.get_mut(session) else { return };
    let Some(request) = entry.waiting.take() else { return };
    let dispatch = state.sessions.dispatches.insert(DispatchEntry {
        session,
        endpoint,
        group: request.group,
        lane: request.lane,
        required,
        started: now,
        deadline: request.attempt.deadline,
        is_running: true,
        is_holding: true,
        in_transaction: false,
        commit: None,
    });
    entry.dispatch = Some(dispatch);
    state.queues.hold(endpoint);
    state.queues.begin(endpoint);
    state.endpoints.begin(endpoint);
    count_placement(state, now, &request, endpoint);
    answer_placed(state, dispatch, request, outputs);
}

/// Time at which a primary is expected again, if none is expected before the deadline of the
/// waiting request.
pub(super) fn primary_unavailable_until(
    state: &HostState,
    now: Instant,
    session: SessionKey,
) -> Option<Instant> {
    let request = state.sessions.entries.get(session)?.waiting.as_ref()?;
    match choose_primary(state, now, request) {
        RouteChoice::Unavailable(retry_at) => Some(retry_at),
        _ => None,
    }
}

fn choose_primary(state: &HostState, now: Instant, request: &WaitingRequest) -> RouteChoice {
    let query = RouteQuery {
        group: request.group,
        is_write: true,
        watermark: LogPosition::default(),
        max_age: Duration::ZERO,
        excluded: Vec::new(),
        deadline: request.attempt.deadline,
    };
    state.endpoints.choose(now, &query)
}

fn count_placement(
    state: &mut HostState,
    now: Instant,
    request: &WaitingRequest,
    endpoint: EndpointKey,
) {
    let is_primary = request.lane == WorkLane::Write
        || matches!(choose_primary(state, now, request),
            RouteChoice::Endpoint { endpoint: chosen, .. } if chosen == endpoint);
    match is_primary {
        true => state.counters.placed_on_primary += 1,
        false => state.counters.placed_on_replica += 1,
    }
}

/// Starts the next request of an open transaction on the endpoint of the transaction.
pub(super) fn continue_transaction(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(entry) = state.sessions.entries.get_mut(session) else { return };
    let Some(dispatch) = entry.dispatch else { return };
    let Some(active) = state.sessions.dispatches.get_mut(dispatch) else { return };
    let Some(request) = entry.waiting.take() else { return };
    active.is_running = true;
    active.started = now;
    active.deadline = request.attempt.deadline;
    state.queues.begin(active.endpoint);
    state.endpoints.begin(active.endpoint);
    answer_placed(state, dispatch, request, outputs);
}

fn answer_placed(
    state: &mut HostState,
    dispatch: DispatchKey,
    request: WaitingRequest,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(active) = state.sessions.dispatches.get(dispatch) else { return };
    let address = state.endpoints.address(active.endpoint);
    let Some(address) = address.cloned() else {
        // The endpoint's record was deleted while the transaction was open.
        let message = "the endpoint was removed";
        let refusal = RequestRefusal::not_run(RefusalCode::Unavailable, message);
        let refusal = place::apply_earlier_verdict(refusal, &request.attempt);
        super::refuse(outputs, request.tag, refusal);
        return finish::remove_dispatch(state, dispatch);
    };
    let plan = DispatchPlan {
        dispatch,
        endpoint: active.endpoint,
        name: address.name,
        sql_address: address.sql_address,
        required: active.required,
        deadline: active.deadline,
        record: request.attempt.record,
        repeatable: request.attempt.repeatable,
    };
    outputs.push(HostOutput::AnswerCaller(request.tag, CallerAnswer::RequestPlaced(plan)));
}

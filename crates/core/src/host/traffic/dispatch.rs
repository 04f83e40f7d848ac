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

/// Members that are tried for a read when the preferred ones have no room.
const TRIED_MEMBERS: usize = 5;

/// When a client should come back after a refusal for lack of an endpoint, when routing cannot tell;
/// a usual failover is over by then.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);

/// Where a request can run, judged by positions and by room.
enum PlaceChoice {
    Endpoint(EndpointKey, LogPosition),
    /// All usable endpoints are full, this one among them.
    Full(EndpointKey),
    /// No endpoint is usable now.
    Waits,
    WriteLost(LogPosition),
    Unavailable(Instant),
}

/// Places the requests of all groups that can run now.
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
        match choose(state, now, session) {
            Some(PlaceChoice::Endpoint(endpoint, required)) => {
                state.queues.serve(now, &ticket);
                start(state, now, session, (endpoint, required), outputs);
            }
            Some(PlaceChoice::Full(endpoint)) => {
                state.queues.note_full(now, group, ticket.lane);
                state.queues.note_short(group, ticket.lane, endpoint);
                block_lane(&mut pass, &ticket);
            }
            Some(PlaceChoice::Waits) if ticket.lane == WorkLane::Write => {
                state.queues.note_unroutable(group, ticket.lane);
                pass.writes_blocked = true;
            }
            Some(PlaceChoice::Waits) => pass.pass_over(&ticket),
            Some(PlaceChoice::WriteLost(position)) => {
                finish::replace_mark(state, session, group, position);
                let refusal = finish::write_lost(RunVerdict::NotRun);
                admit::refuse_waiting(state, session, refusal, outputs);
            }
            Some(PlaceChoice::Unavailable(retry_at)) => {
                let refusal = unavailable(state, retry_at);
                admit::refuse_waiting(state, session, refusal, outputs);
            }
            // The session is gone; its request must not be found again.
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

/// The refusal of a request for which there is no endpoint.
pub(super) fn unavailable(state: &mut HostState, retry_at: Instant) -> RequestRefusal {
    state.counters.refused_unavailable += 1;
    let message = "no endpoint can serve the request now";
    RequestRefusal::not_run(RefusalCode::Unavailable, message).retry_at(retry_at)
}

/// When a request that has no endpoint may have one, or nothing when endpoints are only full.
pub(super) fn unroutable_until(
    state: &HostState,
    now: Instant,
    session: SessionKey,
) -> Option<Instant> {
    let request = state.sessions.entries.get(session)?.waiting.as_ref()?;
    let later = now + UNAVAILABLE_RETRY;
    match (request.stage, choose(state, now, session)) {
        (WaitStage::Position, _) | (WaitStage::Endpoint, Some(PlaceChoice::Waits)) => Some(later),
        (WaitStage::Endpoint, Some(PlaceChoice::Unavailable(at))) => Some(at.min(later).max(now)),
        _ => None,
    }
}

fn choose(state: &HostState, now: Instant, session: SessionKey) -> Option<PlaceChoice> {
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
    // Only the primary serves writes, and a failed read may go back to an endpoint if no other
    // serves it.
    if request.lane == WorkLane::Read && !failed.is_empty() {
        let choice =
            with_room(state, now, RouteQuery { excluded: failed.clone(), ..query.clone() });
        if !matches!(choice, PlaceChoice::Waits | PlaceChoice::Unavailable(_)) {
            return Some(choice);
        }
    }
    Some(with_room(state, now, query))
}

/// Chooses among the endpoints that have room; the excluded ones grow by those that are full.
fn with_room(state: &HostState, now: Instant, mut query: RouteQuery) -> PlaceChoice {
    let mut full = None;
    for _ in 0..TRIED_MEMBERS {
        let choice = match (state.endpoints.choose(now, &query), full) {
            (RouteChoice::Endpoint { endpoint, required }, _) => {
                if connections::has_room(state, now, endpoint) {
                    return PlaceChoice::Endpoint(endpoint, required);
                }
                let first = *full.get_or_insert(endpoint);
                if query.is_write || query.excluded.contains(&endpoint) {
                    return PlaceChoice::Full(first);
                }
                query.excluded.push(endpoint);
                continue;
            }
            (_, Some(first)) => PlaceChoice::Full(first),
            (RouteChoice::WaitUntil(_), None) => PlaceChoice::Waits,
            (RouteChoice::WriteLost(position), None) => PlaceChoice::WriteLost(position),
            (RouteChoice::Unavailable(retry_at), None) => PlaceChoice::Unavailable(retry_at),
        };
        return choice;
    }
    full.map_or(PlaceChoice::Waits, PlaceChoice::Full)
}

/// Starts a request on an endpoint.
fn start(
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
    count(state, now, &request, endpoint);
    answer(state, dispatch, request, outputs);
}

/// When there may be a primary again, if routing gives none before the deadline.
pub(super) fn primary_unavailable(
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

fn count(state: &mut HostState, now: Instant, request: &WaitingRequest, endpoint: EndpointKey) {
    let is_primary = request.lane == WorkLane::Write
        || matches!(choose_primary(state, now, request),
            RouteChoice::Endpoint { endpoint: chosen, .. } if chosen == endpoint);
    match is_primary {
        true => state.counters.placed_on_primary += 1,
        false => state.counters.placed_on_replica += 1,
    }
}

/// Starts the next request of an open transaction where the transaction is.
pub(super) fn continue_transaction(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(entry) = state.sessions.entries.get_mut(session) else { return };
    let Some(dispatch) = entry.dispatch else { return };
    let Some(open) = state.sessions.dispatches.get_mut(dispatch) else { return };
    let Some(request) = entry.waiting.take() else { return };
    open.is_running = true;
    open.started = now;
    open.deadline = request.attempt.deadline;
    state.queues.begin(open.endpoint);
    state.endpoints.begin(open.endpoint);
    answer(state, dispatch, request, outputs);
}

fn answer(
    state: &mut HostState,
    dispatch: DispatchKey,
    request: WaitingRequest,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(open) = state.sessions.dispatches.get(dispatch) else { return };
    let address = state.endpoints.address(open.endpoint);
    let Some(address) = address.cloned() else {
        // The endpoint's record was deleted while its transaction was open.
        let message = "the endpoint was removed";
        let refusal = RequestRefusal::not_run(RefusalCode::Unavailable, message);
        let refusal = place::with_verdict(refusal, &request.attempt);
        super::refuse(outputs, request.tag, refusal);
        return finish::drop_dispatch(state, dispatch);
    };
    let plan = DispatchPlan {
        dispatch,
        endpoint: open.endpoint,
        name: address.name,
        sql_address: address.sql_address,
        required: open.required,
        deadline: open.deadline,
        record: request.attempt.record,
        repeatable: request.attempt.repeatable,
    };
    outputs.push(HostOutput::AnswerCaller(request.tag, CallerAnswer::RequestPlaced(plan)));
}

//! Checks of a request before it waits for a token and an endpoint.

use std::time::{Duration, Instant};

use tanagerdeal_wire::RouteName;
use tanagerdeal_wire::record::RouteRecord;

use super::{admit, finish, refuse, rights, settings};
use crate::host::{HostState, groups};
use crate::message::caller::RequestRecord;
use crate::message::{CallTag, DrainPhase, GroupKey, HostOutput, SessionKey};
use crate::schedule::WorkLane;
use crate::session::mark::MAX_MARKS;
use crate::session::placement::place_shard;
use crate::session::setting::is_expired_id;
use crate::session::{RequestAttempt, SessionEntry, WaitStage, WaitingRequest};
use crate::statement::StatementClass;
use crate::verdict::{RefusalCode, RequestRefusal, RunVerdict};

/// Retry delay for a request whose service has no groups yet.
const NO_GROUP_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Places a request, makes it wait, or refuses it.
pub(super) fn place_request(
    state: &mut HostState,
    now: Instant,
    tag: CallTag,
    session: SessionKey,
    (class, is_retry): (StatementClass, bool),
    outputs: &mut Vec<HostOutput>,
) {
    match prepare_request(state, now, tag, session, (class, is_retry)) {
        Ok(request) => {
            let group = request.group;
            if let Some(entry) = state.sessions.entries.get_mut(session) {
                entry.attempt = Some(request.attempt.clone());
                entry.waiting = Some(request);
            }
            groups::note_use(state, now, group, outputs);
            admit::admit(state, now, session, !is_retry, outputs);
        }
        Err(refusal) => {
            let entry = state.sessions.entries.get(session);
            let earlier = entry.and_then(|entry| entry.attempt.as_ref()).filter(|_| is_retry);
            let refusal = match earlier {
                Some(attempt) => apply_earlier_verdict(refusal, attempt),
                None => refusal,
            };
            refuse(outputs, tag, refusal);
        }
    }
}

/// Withdraws a request that has not been placed. It gets no answer.
pub(super) fn abandon_request(state: &mut HostState, session: SessionKey) {
    admit::take_waiting(state, session);
}

fn prepare_request(
    state: &mut HostState,
    now: Instant,
    tag: CallTag,
    session: SessionKey,
    (class, is_retry): (StatementClass, bool),
) -> Result<WaitingRequest, RequestRefusal> {
    check_may_run(state, now, session, &class)?;
    let attempt = match is_retry {
        true => retry_attempt(state, now, session)?,
        false => first_attempt(state, now, session, class)?,
    };
    let Some(entry) = state.sessions.entries.get(session) else {
        return Err(rights::invalid_key());
    };
    let active = entry.dispatch.and_then(|key| state.sessions.dispatches.get(key));
    let in_transaction = active.is_some();
    let (group, lane) = match active {
        Some(dispatch) => (dispatch.group, dispatch.lane),
        None => (find_group(state, now, entry)?, lane_of(&attempt.class)),
    };
    report_lost_write(state, session, group)?;
    let stage = WaitStage::Token;
    let (arrived, ticket) = (now, None);
    Ok(WaitingRequest { tag, stage, arrived, group, lane, in_transaction, attempt, ticket })
}

/// Checks that the session is authorized and that no other request of it waits or runs.
fn check_may_run(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    class: &StatementClass,
) -> Result<(), RequestRefusal> {
    let entry = state.sessions.entries.get(session).ok_or_else(rights::invalid_key)?;
    let dispatch = entry.dispatch.and_then(|key| state.sessions.dispatches.get(key));
    if entry.waiting.is_some() || dispatch.is_some_and(|dispatch| dispatch.is_running) {
        let message = "another request of the session has not ended";
        return Err(RequestRefusal::not_run(RefusalCode::Unsupported, message));
    }
    if let StatementClass::Rejected { reason } = class {
        return Err(RequestRefusal::not_run(RefusalCode::Unsupported, reason));
    }
    // A rollback frees the endpoint, so it is allowed even if the session is no longer authorized.
    if dispatch.is_some() && *class == StatementClass::Rollback {
        return Ok(());
    }
    if let Some(refusal) = &entry.closing {
        return Err(refusal.clone());
    }
    if state.drain.phase >= DrainPhase::Draining && dispatch.is_none() {
        return Err(rights::shutting_down());
    }
    rights::check_session(state, entry)?;
    match entry.credential.is_some() {
        true => rights::check_catalog_fresh(state, now),
        false => Ok(()),
    }
}

fn first_attempt(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    class: StatementClass,
) -> Result<RequestAttempt, RequestRefusal> {
    let entry = state.sessions.entries.get_mut(session).ok_or_else(rights::invalid_key)?;
    let route = state.catalog.route(&entry.route).ok_or_else(rights::invalid_key)?;
    let deadline = now + deadline_of(entry, route);
    let in_transaction = entry.in_transaction();
    let is_recorded = !in_transaction
        && matches!(class, StatementClass::Write | StatementClass::Begin { read_only: false });
    // The id belongs to this request only, even if the request fails. If it were kept, the next
    // request would be recorded under it.
    let request_id = if is_recorded { entry.settings.request_id.take() } else { None };
    if request_id.as_ref().is_some_and(|id| is_expired_id(id, entry.wall_at(now))) {
        let message = "the request id is older than the time for which outcomes are kept";
        return Err(RequestRefusal::may_have_run(message));
    }
    let customer = entry.account.to_string();
    let record = request_id.map(|request_id| RequestRecord { customer, request_id });
    let is_read = matches!(class, StatementClass::Read | StatementClass::Begin { .. });
    let repeatable = !in_transaction && (is_read || record.is_some() || entry.settings.repeatable);
    let (verdict, excluded) = (RunVerdict::NotRun, Vec::new());
    let is_single = !in_transaction;
    Ok(RequestAttempt { class, deadline, record, repeatable, is_single, verdict, excluded })
}

/// Checks that the last request may be retried.
fn retry_attempt(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
) -> Result<RequestAttempt, RequestRefusal> {
    let entry = state.sessions.entries.get(session).ok_or_else(rights::invalid_key)?;
    let attempt = match &entry.attempt {
        Some(attempt) if !entry.in_transaction() => attempt.clone(),
        _ => return Err(settings::invalid_value("there is no request to be placed again")),
    };
    let refusal = |message: &str| RequestRefusal::not_run(RefusalCode::Unavailable, message);
    if attempt.verdict != RunVerdict::NotRun && !attempt.repeatable {
        return Err(RequestRefusal::may_have_run("the connection to the endpoint was lost"));
    }
    if !attempt.is_single {
        return Err(refusal("the transaction was lost with its connection"));
    }
    if attempt.deadline <= now {
        return Err(refusal("the deadline has passed"));
    }
    if !state.retries.take(now, &entry.account) {
        state.counters.retries_refused += 1;
        return Err(refusal("the endpoint failed, and the retry budget is used up"));
    }
    state.counters.retries_allowed += 1;
    Ok(attempt)
}

/// Applies the verdict of earlier attempts of the same request to a refusal.
pub(super) fn apply_earlier_verdict(
    mut refusal: RequestRefusal,
    attempt: &RequestAttempt,
) -> RequestRefusal {
    refusal.verdict = refusal.verdict.max(attempt.verdict);
    // The result of a read is lost whether or not it ran, so its refusal keeps its code.
    if refusal.verdict != RunVerdict::NotRun && attempt.class != StatementClass::Read {
        refusal.code = RefusalCode::OutcomeUnknown;
    }
    refusal
}

fn deadline_of(entry: &SessionEntry, route: &RouteRecord) -> Duration {
    Duration::from_millis(u64::from(entry.settings.deadline_ms.unwrap_or(route.deadline_ms)))
}

/// Maximum age of a read: the session's setting, or else the route's.
pub(super) fn read_age(state: &HostState, entry: &SessionEntry) -> Duration {
    let route: &RouteName = &entry.route;
    let default = state.catalog.route(route).map_or(0, |route| route.max_read_age_ms);
    Duration::from_millis(u64::from(entry.settings.max_read_age_ms.unwrap_or(default)))
}

fn lane_of(class: &StatementClass) -> WorkLane {
    match class {
        StatementClass::Write | StatementClass::Begin { read_only: false } => WorkLane::Write,
        _ => WorkLane::Read,
    }
}

/// Group of the session's shard key.
fn find_group(
    state: &HostState,
    now: Instant,
    entry: &SessionEntry,
) -> Result<GroupKey, RequestRefusal> {
    let route = state.catalog.route(&entry.route).ok_or_else(rights::invalid_key)?;
    let groups = state.endpoints.groups(&route.service);
    let names = groups.iter().map(|group| match state.endpoints.group_name(*group) {
        Some(name) => name.as_str(),
        None => "",
    });
    let placed = place_shard(entry.shard_key(), names).and_then(|index| groups.get(index));
    placed.copied().ok_or_else(|| {
        let message = "the route's service has no groups";
        let refusal = RequestRefusal::not_run(RefusalCode::Unavailable, message);
        refusal.retry_at(now + NO_GROUP_RETRY_DELAY)
    })
}

/// Reports a lost write to its session once. Also bounds the number of groups in the session token.
fn report_lost_write(
    state: &mut HostState,
    session: SessionKey,
    group: GroupKey,
) -> Result<(), RequestRefusal> {
    let Some(name) = state.endpoints.group_name(group) else { return Ok(()) };
    let Some(entry) = state.sessions.entries.get_mut(session) else { return Ok(()) };
    if entry.marks.len() >= MAX_MARKS && !entry.marks.contains_key(name) {
        let message = "the session has used too many groups";
        return Err(RequestRefusal::not_run(RefusalCode::LimitExceeded, message));
    }
    match entry.marks.get_mut(name) {
        Some(mark) if mark.is_lost => {
            mark.is_lost = false;
            state.counters.writes_lost += 1;
            Err(finish::write_lost(RunVerdict::NotRun))
        }
        _ => Ok(()),
    }
}

//! Admission of requests: rate tokens, the initial watermark of a session, and the queue.

use std::time::{Duration, Instant};

use tanagerdeal_wire::record::CustomerRecord;
use tanagerdeal_wire::{CustomerName, value_type};

use super::place::apply_earlier_verdict;
use super::{dispatch, loans, open, place, refuse};
use crate::confirm::{ConfirmRequest, ConfirmWaiter};
use crate::host::HostState;
use crate::limit::CustomerRate;
use crate::message::{HostOutput, SessionKey};
use crate::schedule::{QueueEntry, WorkLane, is_admitted};
use crate::session::{WaitStage, WaitingRequest};
use crate::statement::StatementClass;
use crate::verdict::{RefusalCode, RequestRefusal};

/// Longest time that a request outside a transaction waits for a token. It leaves time for a loan
/// to arrive, and evens out bursts on this host that the customer's whole rate would have admitted.
const TOKEN_WAIT_LIMIT: Duration = Duration::from_millis(100);

/// Number of [`TOKEN_WAIT_LIMIT`] periods in a second.
const TOKEN_WAITS_PER_S: usize = 10;

/// Number of requests that may wait for a loan in addition to those that the whole rate covers
/// within [`TOKEN_WAIT_LIMIT`].
const EXTRA_LOAN_WAITERS: usize = 8;

/// Retry delay for a client whose customer has too small a share on this host for any token.
const NO_SHARE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Remaining time to the deadline below which a request is no longer placed.
const MIN_REMAINING: Duration = Duration::from_millis(2);

value_type! {
    /// Result of a request for a token. A refusal carries the time at which a token is expected, if
    /// one is.
    enum TokenOutcome {
        Taken,
        MayWait,
        Refused(Option<Instant>),
    }
}

/// Takes a token for a request, or makes it wait for one. `is_charged` is false for a retry, whose
/// token was taken by the first attempt.
pub(super) fn admit(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    is_charged: bool,
    outputs: &mut Vec<HostOutput>,
) {
    let Some((customer, takes_token)) = customer_of(state, session) else { return };
    if is_charged {
        let percent = state.catalog.configuration().retry_percent;
        state.retries.note_request(now, &customer, percent);
        state.shares.note_demand(now, &customer);
    }
    if !is_charged || !takes_token {
        return continue_admission(state, now, session, outputs);
    }
    let ahead = state.limits.waiting(&customer);
    match try_take_token(state, now, session, &customer, ahead, outputs) {
        TokenOutcome::Taken => continue_admission(state, now, session, outputs),
        TokenOutcome::MayWait => state.limits.wait(&customer, session),
        TokenOutcome::Refused(retry_at) => refuse_over_rate(state, now, session, retry_at, outputs),
    }
}

/// Customer of a session, and whether its waiting request takes a token. Sessions on open routes
/// have no customer, and the end of a transaction only frees what the transaction holds.
fn customer_of(state: &HostState, session: SessionKey) -> Option<(CustomerName, bool)> {
    let entry = state.sessions.entries.get(session)?;
    let request = entry.waiting.as_ref()?;
    let is_end = request.in_transaction
        && matches!(request.attempt.class, StatementClass::Commit | StatementClass::Rollback);
    Some((entry.account.clone(), entry.credential.is_some() && !is_end))
}

/// Takes a token for a request with `ahead` others before it, or decides whether it may wait.
fn try_take_token(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    customer: &CustomerName,
    ahead: usize,
    outputs: &mut Vec<HostOutput>,
) -> TokenOutcome {
    let Some(record) = state.catalog.customer(customer) else { return TokenOutcome::Refused(None) };
    let rate = rate_of(record);
    state.shares.set_rate(now, customer, rate);
    let ready_at = match state.shares.take_token(now, customer, ahead as u64) {
        Ok(()) => return TokenOutcome::Taken,
        Err(ready_at) => ready_at,
    };
    let Some(request) = waiting(state, session) else { return TokenOutcome::Refused(None) };
    let wait_until = request.arrived + TOKEN_WAIT_LIMIT;
    let deadline = request.attempt.deadline - MIN_REMAINING;
    let until = if request.in_transaction { deadline } else { wait_until.min(deadline) };
    if ready_at.is_some_and(|at| at <= until) {
        return TokenOutcome::MayWait;
    }
    // Loans bring no more tokens than the whole rate yields within the longest wait.
    let max_waiting = rate.rate_per_s as usize / TOKEN_WAITS_PER_S + EXTRA_LOAN_WAITERS;
    let waiters = (customer, ahead + 1);
    let is_loan_expected = now < until
        && ahead < max_waiting
        && loans::borrow_for_waiting(state, now, waiters, until, outputs);
    if is_loan_expected { TokenOutcome::MayWait } else { TokenOutcome::Refused(ready_at) }
}

/// Grants tokens to waiting requests in order of arrival.
pub(super) fn grant_tokens(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    for customer in state.limits.customers() {
        while let Some(session) = state.limits.first(&customer) {
            if state.shares.take_token(now, &customer, 0).is_err() {
                break;
            }
            state.limits.remove(&customer, session);
            continue_admission(state, now, session, outputs);
        }
    }
}

/// Refuses waiting requests that cannot get a token in time.
pub(super) fn refuse_late_token_waits(
    state: &mut HostState,
    now: Instant,
    outputs: &mut Vec<HostOutput>,
) {
    for customer in state.limits.customers() {
        let mut ahead = 0;
        for session in state.limits.sessions(&customer) {
            match try_take_token(state, now, session, &customer, ahead, outputs) {
                TokenOutcome::Taken => {
                    state.limits.remove(&customer, session);
                    continue_admission(state, now, session, outputs);
                }
                TokenOutcome::MayWait => ahead += 1,
                TokenOutcome::Refused(retry_at) => {
                    refuse_over_rate(state, now, session, retry_at, outputs);
                }
            }
        }
    }
}

fn refuse_over_rate(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    retry_at: Option<Instant>,
    outputs: &mut Vec<HostOutput>,
) {
    state.counters.refused_rate += 1;
    let message = "the customer is over its rate and burst";
    let refusal = RequestRefusal::not_run(RefusalCode::RateExceeded, message);
    let retry_at = retry_at.unwrap_or(now + NO_SHARE_RETRY_DELAY).max(now);
    refuse_waiting(state, session, refusal.retry_at(retry_at), outputs);
}

/// Continues a request after the rate check. The first current read of a session waits for the
/// primary's confirmed position, which covers what the client may have written through other
/// sessions.
fn continue_admission(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    outputs: &mut Vec<HostOutput>,
) {
    if !needs_primary_position(state, session) {
        return enqueue(state, now, session, outputs);
    }
    match dispatch::primary_unavailable_until(state, now, session) {
        Some(retry_at) => {
            let refusal = dispatch::unavailable(state, retry_at);
            refuse_waiting(state, session, refusal, outputs);
        }
        None => await_primary_position(state, now, session),
    }
}

/// Makes a request wait for the primary's confirmed position.
pub(super) fn await_primary_position(state: &mut HostState, now: Instant, session: SessionKey) {
    let Some(entry) = state.sessions.entries.get_mut(session) else { return };
    let Some(request) = entry.waiting.as_mut() else { return };
    entry.open_positions += 1;
    request.stage = WaitStage::Position;
    let (group, deadline) = (request.group, request.attempt.deadline);
    state.confirms.add(ConfirmRequest {
        waiter: ConfirmWaiter::Position(session),
        group,
        position: Default::default(),
        since: now,
        replicated_by: now,
        deadline,
        durability: Default::default(),
    });
}

fn needs_primary_position(state: &HostState, session: SessionKey) -> bool {
    let Some(entry) = state.sessions.entries.get(session) else { return false };
    let Some(request) = entry.waiting.as_ref() else { return false };
    let name = state.endpoints.group_name(request.group);
    let mark = name.and_then(|name| entry.marks.get(name));
    let is_current = place::read_age(state, entry) == Duration::ZERO;
    let reads =
        matches!(request.attempt.class, StatementClass::Read | StatementClass::Begin { .. });
    request.lane == WorkLane::Read
        && reads
        && !request.in_transaction
        && is_current
        && !mark.is_some_and(|mark| mark.is_adopted)
}

/// Queues a request for an endpoint, or refuses it if it cannot be served by its deadline. A
/// request of an open transaction continues on the endpoint of the transaction.
pub(super) fn enqueue(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(entry) = state.sessions.entries.get(session) else { return };
    let Some(request) = entry.waiting.as_ref() else { return };
    if request.in_transaction {
        return dispatch::continue_transaction(state, now, session, outputs);
    }
    let (weight, worth) = open::weight_and_worth(state.catalog.customer(&entry.account));
    let (group, lane, deadline) = (request.group, request.lane, request.attempt.deadline);
    let account = entry.account.clone();
    let policy = state.profile.policies.scheduler;
    let wait = state.queues.expected_wait(policy, now, group, &account, lane, weight);
    let served_at = now + wait.max(MIN_REMAINING);
    if !is_admitted(wait, deadline.saturating_duration_since(now)) {
        return refuse_overload(state, session, served_at, outputs);
    }
    let queued = QueueEntry { session, account, lane, deadline, weight, worth };
    let Some(ticket) = state.queues.enqueue(policy, group, queued) else {
        return refuse_overload(state, session, served_at, outputs);
    };
    if let Some(request) = waiting_mut(state, session) {
        request.stage = WaitStage::Endpoint;
        request.ticket = Some(ticket);
    }
}

/// Refuses waiting requests that can no longer be served in time, and those whose deadline has
/// come.
pub(super) fn shed_late_requests(
    state: &mut HostState,
    now: Instant,
    outputs: &mut Vec<HostOutput>,
) {
    let policy = state.profile.policies.scheduler;
    for (_, session, served_at) in state.queues.late(policy, now) {
        refuse_overload(state, session, served_at, outputs);
    }
    refuse_unavailable(state, now, outputs);
    let expired: Vec<SessionKey> = state
        .sessions
        .entries
        .iter()
        .filter(|(_, entry)| {
            let waiting = entry.waiting.as_ref();
            waiting.is_some_and(|request| now + MIN_REMAINING > request.attempt.deadline)
        })
        .map(|(key, _)| key)
        .collect();
    for session in expired {
        match dispatch::unroutable_until(state, now, session) {
            Some(retry_at) => {
                let refusal = dispatch::unavailable(state, retry_at);
                refuse_waiting(state, session, refusal, outputs);
            }
            None => refuse_overload(state, session, now, outputs),
        }
    }
}

/// Refuses requests that wait for the confirmed position of a group in which no primary is expected
/// before their deadline.
fn refuse_unavailable(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let waiting = state.sessions.entries.iter().filter(|(_, entry)| {
        entry.waiting.as_ref().is_some_and(|request| request.stage == WaitStage::Position)
    });
    let without_primary: Vec<(SessionKey, Instant)> = waiting
        .filter_map(|(key, _)| Some((key, dispatch::primary_unavailable_until(state, now, key)?)))
        .collect();
    for (session, retry_at) in without_primary {
        let refusal = dispatch::unavailable(state, retry_at);
        refuse_waiting(state, session, refusal, outputs);
    }
}

/// Refuses a request whose wait for the primary's confirmed position has expired.
pub(super) fn refuse_unconfirmed(
    state: &mut HostState,
    now: Instant,
    session: SessionKey,
    outputs: &mut Vec<HostOutput>,
) {
    let refusal = dispatch::unavailable(state, now);
    refuse_waiting(state, session, refusal, outputs);
}

fn refuse_overload(
    state: &mut HostState,
    session: SessionKey,
    retry_at: Instant,
    outputs: &mut Vec<HostOutput>,
) {
    state.counters.refused_overload += 1;
    let message = "the request cannot be served by its deadline";
    let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, message).retry_at(retry_at);
    refuse_waiting(state, session, refusal, outputs);
}

/// Refuses a waiting request, whichever stage it has reached.
pub(super) fn refuse_waiting(
    state: &mut HostState,
    session: SessionKey,
    refusal: RequestRefusal,
    outputs: &mut Vec<HostOutput>,
) {
    if let Some(request) = take_waiting(state, session) {
        refuse(outputs, request.tag, apply_earlier_verdict(refusal, &request.attempt));
    }
}

/// Removes a waiting request from its session and from all queues.
pub(super) fn take_waiting(state: &mut HostState, session: SessionKey) -> Option<WaitingRequest> {
    let entry = state.sessions.entries.get_mut(session)?;
    let request = entry.waiting.take()?;
    if let Some(ticket) = &request.ticket {
        state.queues.remove(ticket);
    }
    state.limits.remove(&entry.account, session);
    Some(request)
}

/// Applies the customers' rates from the catalog, so that a token bucket fills from the time at
/// which the record arrives and not only from the first request.
pub(super) fn update_customer_rates(state: &mut HostState, now: Instant) {
    state.shares.set_loan_valid(state.profile.timing.loan_valid);
    state.shares.settle_loans(now);
    let (catalog, version) = (&state.catalog, state.catalog.version());
    if !state.shares.is_new_version(version) {
        return;
    }
    for (name, record) in catalog.customers() {
        state.shares.set_rate(now, name, rate_of(record));
    }
    state.shares.retain_customers(version, |name| catalog.customer(name).is_some());
    let sessions = &state.sessions;
    state.retries.retain(|name| catalog.customer(name).is_some() || sessions.count(name) > 0);
}

fn rate_of(record: &CustomerRecord) -> CustomerRate {
    CustomerRate { rate_per_s: record.rate_per_s, burst: record.burst }
}

fn waiting(state: &HostState, session: SessionKey) -> Option<&WaitingRequest> {
    state.sessions.entries.get(session)?.waiting.as_ref()
}

fn waiting_mut(state: &mut HostState, session: SessionKey) -> Option<&mut WaitingRequest> {
    state.sessions.entries.get_mut(session)?.waiting.as_mut()
}

//! Phases of a shutdown, and the handover of shares at its end.

use std::time::{Duration, Instant};

use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::{PeerRequest, ShareHandover, ShareLoan};

use super::{HostState, lease, store};
use crate::message::{DrainPhase, HostOutput};

/// Hosts among which shares are handed out. The loans end soon, so a few receivers are enough; they
/// lend on what they do not need.
const RECEIVERS: usize = 4;

/// Time for the answers to the handover and the release of the lease.
const SETTLE: Duration = Duration::from_secs(1);

/// Begins the shutdown; a second request changes nothing.
pub(super) fn announce(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    if state.drain.phase != DrainPhase::Serving {
        return;
    }
    let timing = &state.profile.timing;
    state.drain.close_at = Some(now + timing.drain_notice);
    state.drain.finish_by = Some(now + timing.drain_limit);
    enter(state, DrainPhase::Announced, outputs);
    store::hasten_heartbeat(state, now);
    store::run(state, now, outputs);
}

/// Enters the next phase when it is time.
pub(super) fn run(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let is_past = |at: Option<Instant>| at.is_some_and(|at| now >= at);
    match state.drain.phase {
        DrainPhase::Announced if is_past(state.drain.close_at) => {
            enter(state, DrainPhase::Draining, outputs);
        }
        DrainPhase::Draining if state.drain.settle_by.is_some() => {
            let is_settled = state.drain.handovers.is_empty() && state.lease.release_ms.is_none();
            if is_settled || is_past(state.drain.settle_by) {
                enter(state, DrainPhase::Finished, outputs);
            }
        }
        DrainPhase::Draining if state.sessions.is_empty() || is_past(state.drain.finish_by) => {
            state.drain.settle_by = Some(now + SETTLE);
            hand_over(state, now, outputs);
        }
        _ => {}
    }
}

fn enter(state: &mut HostState, phase: DrainPhase, outputs: &mut Vec<HostOutput>) {
    log::info!("drain: phase {phase:?}");
    state.drain.phase = phase;
    outputs.push(HostOutput::Drain(phase));
}

/// Lends everything to other hosts for the time of a loan, and releases the lease so that the share
/// counts until these loans, and those given earlier, have ended.
fn hand_over(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let loan_valid = state.profile.timing.loan_valid;
    let left = state.lease.valid_until.map(|until| until.saturating_duration_since(now));
    let valid = loan_valid.min(left.unwrap_or_default());
    let receivers = receivers(state, now);
    if !receivers.is_empty() && !valid.is_zero() {
        let loans = state.shares.hand_over(now);
        for (place, receiver) in receivers.iter().enumerate() {
            let loans = loans.iter().map(|loan| part(loan, receivers.len(), place)).collect();
            send(state, now, receiver, (loans, valid), outputs);
        }
    }
    lease::release(state, now, loan_valid, outputs);
}

/// Live hosts that are not leaving, those of the own failure domain first.
fn receivers(state: &HostState, now: Instant) -> Vec<HostName> {
    let domain = &state.profile.identity.domain;
    let mut others: Vec<_> = state.hosts.others(now).collect();
    others.sort_by_key(|(_, host)| host.domain != *domain);
    others.into_iter().take(RECEIVERS).map(|(name, _)| name.clone()).collect()
}

fn part(loan: &ShareLoan, parts: usize, place: usize) -> ShareLoan {
    let split = |amount: u64| {
        let (parts, place) = (parts as u64, place as u64);
        amount / parts + u64::from(place < amount % parts)
    };
    let (units, millitokens) = (split(loan.units), split(loan.millitokens));
    ShareLoan { resource: loan.resource.clone(), units, millitokens, valid_ms: loan.valid_ms }
}

fn send(
    state: &mut HostState,
    now: Instant,
    receiver: &HostName,
    (loans, valid): (Vec<ShareLoan>, Duration),
    outputs: &mut Vec<HostOutput>,
) {
    let valid_ms = u64::try_from(valid.as_millis()).unwrap_or(u64::MAX);
    let identity = &state.profile.identity;
    let (host, incarnation) = (identity.host.clone(), identity.incarnation);
    let handover = ShareHandover { host, incarnation, loans, valid_ms };
    let request = PeerRequest::Handover(handover);
    let call = state.hosts.send(receiver, request, now + SETTLE, outputs);
    state.counters.peer_calls += 1;
    state.drain.handovers.extend(call);
}

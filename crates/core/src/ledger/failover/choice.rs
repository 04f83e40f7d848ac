//! The choice of the endpoint to promote, and the wait for endpoints that may be better.
//!
//! An endpoint that has not told its status may have received more of the log than those that have.
//! It is waited for if it runs, or if the others are known to lack commits: a promotion of one of
//! them would give up commits that were acknowledged, and they would come back if an endpoint that
//! has them were promoted later.

use std::time::Duration;

use super::complete::promote_complete;
use super::step::{ChangeStep, ChangeView, is_old_primary, leads};
use super::{CandidateStatus, UnansweredCandidate, best_candidate};
use crate::ledger::absence::AbsentEndpoint;
use crate::ledger::endpoint::LogPosition;

/// Longest wait for an endpoint that may have received more of the log than the others. A primary is
/// replaced within 9 s, of which the suspicion, the confirmations and the promotion take up to 4 s.
pub const STATUS_WAIT_LIMIT: Duration = Duration::from_millis(5_000);
/// How long the replicas of a primary that is being drained may take to receive its last commits.
pub const CATCH_UP_LIMIT: Duration = Duration::from_millis(600);

/// Promotes the best candidate, or waits while another endpoint may be better.
pub(super) fn promote_best<'s>(
    candidates: impl Iterator<Item = &'s CandidateStatus> + Clone,
    view: ChangeView<'s, '_>,
) -> ChangeStep<'s> {
    if view.sync_replicas > 0 {
        return promote_complete(candidates, view);
    }
    let best = best_of(candidates.clone(), view);
    if is_catching_up(best, view) || is_status_awaited(best, view) {
        return ChangeStep::Wait;
    }
    // Those that run and never answered have received at least what is known of them.
    let others = running(view).filter(|status| status.id != view.record.primary);
    match best_of(candidates.clone().chain(others), view) {
        None => ChangeStep::NoCandidate,
        Some(best) if view.record.is_diverged(best.received) => {
            promote_given_up(best, candidates, view)
        }
        Some(best) => ChangeStep::Promote(best),
    }
}

/// Promotes an endpoint with commits that were given up only if no log without them is left. One
/// that has to leave is promoted before it.
fn promote_given_up<'s>(
    best: &'s CandidateStatus,
    mut candidates: impl Iterator<Item = &'s CandidateStatus>,
    view: ChangeView<'s, '_>,
) -> ChangeStep<'s> {
    let leaving = candidates.find(|status| !view.record.is_diverged(status.received));
    match leaving {
        _ if has_leader(view) => ChangeStep::Withhold,
        Some(leaving) => ChangeStep::Promote(leaving),
        None if may_be_surpassed(best.received, view) => ChangeStep::Withhold,
        None => ChangeStep::Promote(best),
    }
}

/// Whether an endpoint has told that it leads the present term, perhaps under another identity.
pub(super) fn has_leader(view: ChangeView<'_, '_>) -> bool {
    let is_present = |status: &CandidateStatus| status.term >= view.record.term;
    view.statuses.iter().any(|status| is_present(status) && leads(status, view))
}

/// Number of endpoints whose logs were not told and may have had commits beyond a position.
pub(super) fn missing(received: LogPosition, view: ChangeView<'_, '_>) -> usize {
    let absent = view.absent.iter().filter(|absent| absent.may_have_more(received));
    untold(view).count() + absent.count()
}

/// Whether an endpoint whose log was not told may come back with commits beyond a position.
pub(super) fn may_be_surpassed(received: LogPosition, view: ChangeView<'_, '_>) -> bool {
    let may_surpass =
        |absent: &AbsentEndpoint| absent.may_have_more(received) && absent.may_return(view.now);
    untold(view).next().is_some() || view.absent.iter().any(may_surpass)
}

/// Registered endpoints that have not told their logs.
fn untold<'s>(view: ChangeView<'s, '_>) -> impl Iterator<Item = &'s UnansweredCandidate> {
    view.unanswered.iter().filter(|candidate| !candidate.has_successor)
}

/// The candidate that has received most. Those with commits that were given up come last: a
/// promotion would bring these back after reads that missed them.
fn best_of<'s>(
    candidates: impl Iterator<Item = &'s CandidateStatus> + Clone,
    view: ChangeView<'s, '_>,
) -> Option<&'s CandidateStatus> {
    let is_diverged = |status: &&CandidateStatus| view.record.is_diverged(status.received);
    let others = candidates.clone().filter(|status| !is_diverged(status));
    best_candidate(others, view.primaries).or_else(|| best_candidate(candidates, view.primaries))
}

/// What is known of the endpoints that run and have not told their status.
fn running<'s>(view: ChangeView<'s, '_>) -> impl Iterator<Item = &'s CandidateStatus> + Clone {
    let running = view.unanswered.iter().filter(|candidate| candidate.is_running);
    running.map(|candidate| &candidate.status)
}

/// Newest position of the old primary, if it shows one. It takes no more commits.
fn last_position(view: ChangeView<'_, '_>) -> Option<LogPosition> {
    let known = view.statuses.iter().chain(running(view));
    known.filter(|status| is_old_primary(view.record, status)).map(|old| old.received).max()
}

/// Whether the replicas are still receiving the last commits of a primary that leaves.
fn is_catching_up(best: Option<&CandidateStatus>, view: ChangeView<'_, '_>) -> bool {
    let received = best.map(|status| status.received);
    view.is_leaving && !view.is_catch_up_over && last_position(view) > received
}

/// Whether the choice still waits: for an endpoint that may be kept, or may have received more of
/// the log than the best of those that have answered, or for any other one if the best is known to
/// lack commits or has some that were given up.
fn is_status_awaited(best: Option<&CandidateStatus>, view: ChangeView<'_, '_>) -> bool {
    let is_diverged = |status: &CandidateStatus| view.record.is_diverged(status.received);
    let lacks = |position: LogPosition| best.is_some_and(|best| best.received < position);
    let may_have_more = |status: &CandidateStatus| lacks(status.received) && !is_diverged(status);
    let is_complete = last_position(view).is_some_and(|last| best.is_some() && !lacks(last));
    let is_awaited = |candidate: &UnansweredCandidate| {
        let UnansweredCandidate { status, is_running, .. } = candidate;
        let is_old = status.id == view.record.primary;
        match is_old {
            true => *is_running && !view.is_leaving,
            false => status.is_eligible && !is_complete && (*is_running || may_have_more(status)),
        }
    };
    let is_any_awaited = view.unanswered.iter().any(is_awaited);
    // The term began with what its primary had received.
    let acknowledged = view.acknowledged.max(view.record.term_start.unwrap_or_default());
    let is_poor = lacks(acknowledged) || best.is_some_and(is_diverged);
    !view.is_status_wait_over && (is_poor || is_any_awaited)
}

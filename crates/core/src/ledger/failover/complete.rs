//! The choice in a group with synchronous replicas: an endpoint that has every acknowledged commit.
//!
//! A commit is acknowledged once the primary and as many replicas as configured have it, whether they
//! are draining, evacuated or not registered. So the longest log that was told has all of them if the
//! endpoint that leads has told its own, or if too few endpoints are missing to have a commit among
//! themselves.

use super::choice::{has_leader, may_be_surpassed, missing};
use super::step::{ChangeStep, ChangeView};
use super::{CandidateStatus, best_candidate};
use crate::ledger::endpoint::LogPosition;

/// Promotes an endpoint that has every acknowledged commit. One that has to leave is promoted only if
/// no other one has them: it is replaced when another one has caught up.
pub(super) fn promote_complete<'s>(
    candidates: impl Iterator<Item = &'s CandidateStatus> + Clone,
    view: ChangeView<'s, '_>,
) -> ChangeStep<'s> {
    let is_kept = |status: &&CandidateStatus| !view.record.is_diverged(status.received);
    let longest = view.statuses.iter().filter(is_kept).map(|status| status.received).max();
    let complete = candidates.clone().filter(is_kept).filter(|it| Some(it.received) == longest);
    let staying = best_candidate(complete.clone(), view.primaries);
    let leaving = || complete.max_by_key(|status| &status.id).filter(|_| may_promote_leaving(view));
    let best = staying.or_else(leaving);
    let proven = best.filter(|best| is_proven(best.received, view));
    let is_seen = |best: &&CandidateStatus| best.received >= last_seen(view);
    match (proven, proven.filter(is_seen)) {
        (_, Some(best)) => ChangeStep::Promote(best),
        _ if !view.is_status_wait_over => ChangeStep::Wait,
        // What was seen beyond its log was not acknowledged.
        (Some(best), None) => ChangeStep::Promote(best),
        _ => promote_furthest(candidates, view),
    }
}

/// Promotes the endpoint with the longest log once nobody can come back with more.
fn promote_furthest<'s>(
    candidates: impl Iterator<Item = &'s CandidateStatus>,
    view: ChangeView<'s, '_>,
) -> ChangeStep<'s> {
    match candidates.max_by_key(|status| (status.received, status.is_eligible)) {
        _ if has_leader(view) => ChangeStep::Withhold,
        Some(furthest) if !may_be_surpassed(furthest.received, view) => {
            ChangeStep::Promote(furthest)
        }
        Some(_) => ChangeStep::Withhold,
        None => ChangeStep::NoCandidate,
    }
}

/// Whether an endpoint that has to leave may be promoted: there is no primary with which the others
/// could catch up, and none that could stay is about to tell its status.
fn may_promote_leaving(view: ChangeView<'_, '_>) -> bool {
    let is_awaited = view.unanswered.iter().any(|it| it.is_running && it.status.is_eligible);
    !has_leader(view) && (view.is_status_wait_over || !is_awaited)
}

/// Whether the longest log that was told, which reaches up to `longest`, has every acknowledged
/// commit. The present term began with those of the terms before.
fn is_proven(longest: LogPosition, view: ChangeView<'_, '_>) -> bool {
    Some(longest) >= view.record.term_start
        && (has_leader(view) || missing(longest, view) <= view.sync_replicas)
}

/// Newest position that was seen of the group's primaries, unless it was given up.
fn last_seen(view: ChangeView<'_, '_>) -> LogPosition {
    let seen = Some(view.acknowledged).filter(|seen| !view.record.is_diverged(*seen));
    seen.unwrap_or_default()
}

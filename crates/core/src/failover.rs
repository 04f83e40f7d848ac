//! Suspicion of failed primaries, and the promotions that this host runs.

mod agreement;
mod promotion;
mod rank;
#[cfg(test)]
mod tests;
mod watchers;

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::message::{EndpointKey, GroupKey};

pub(crate) use agreement::{PeerView, is_agreed};
pub(crate) use promotion::{PhaseOutcome, Promotion, PromotionPhase, choose_target};
pub(crate) use rank::rank_among;
pub(crate) use watchers::WatchPlan;

/// Number of successful probes that clear a suspicion. With fewer, a link that loses every second
/// packet would raise and clear it several times a second.
const CLEARING_PROBES: u32 = 3;

/// Longest gap between two runs of this host that counts in full towards a suspicion. Answers that
/// arrived during a longer gap may not have been handled yet.
pub(crate) const MAX_RUN_GAP: Duration = Duration::from_millis(100);

/// Gap between two runs from which on all earlier suspicions and promotions are dropped.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Suspicions and promotions by group.
#[derive(Default)]
pub struct FailoverTable {
    pub(crate) watches: SecondaryMap<GroupKey, GroupWatch>,
    /// The hosts that watch each group.
    pub(crate) plan: WatchPlan,
    ran_at: Option<Instant>,
    /// Number of promotion attempts so far. It makes the promoter id of each attempt unique.
    pub(crate) attempts: u64,
}

/// This host's observations of the primary of one group, and its promotion of the group if any.
#[derive(Default)]
pub(crate) struct GroupWatch {
    pub(crate) suspicion: Option<PrimarySuspicion>,
    /// Since when the group has no primary of its term according to the answers of its members.
    pub(crate) missing_since: Option<Instant>,
    /// Since when enough failure domains agree with the suspicion.
    pub(crate) agreed_since: Option<Instant>,
    /// Highest promised term above the group's term, and when it was first seen.
    pub(crate) fence: Option<(u64, Instant)>,
    /// Since when the primary may get no new work, so that a planned switchover is due.
    pub(crate) withheld_since: Option<Instant>,
    /// Members that follow no primary, or the primary of an older term, and since when.
    pub(crate) stale_members: SecondaryMap<EndpointKey, Instant>,
    pub(crate) promotion: Option<Promotion>,
    /// Time before which this host starts no further promotion of the group.
    pub(crate) backoff_until: Option<Instant>,
}

/// A suspicion that the primary of a term has failed.
pub(crate) struct PrimarySuspicion {
    pub(crate) term: u64,
    successful_probes: u32,
    last_counted_at: Instant,
}

impl FailoverTable {
    /// Returns the observations of a group, which are empty at first.
    pub(crate) fn watch(&mut self, group: GroupKey) -> &mut GroupWatch {
        if !self.watches.contains_key(group) {
            self.watches.insert(group, GroupWatch::default());
        }
        &mut self.watches[group]
    }

    /// Records a run of the host, and returns the time since the previous run.
    pub(crate) fn record_run(&mut self, now: Instant) -> Duration {
        let ran_at = self.ran_at.replace(now);
        ran_at.map_or(Duration::ZERO, |ran_at| now.saturating_duration_since(ran_at))
    }

    /// Drops all suspicions and promotions after a pause, because other hosts may have acted
    /// meanwhile.
    pub(crate) fn reset(&mut self) {
        self.watches.clear();
    }

    /// The term of the suspected primary of a group, or `None` without a suspicion.
    pub(crate) fn suspected_term(&self, group: GroupKey) -> Option<u64> {
        self.watches.get(group)?.suspicion.as_ref().map(|suspicion| suspicion.term)
    }
}

impl GroupWatch {
    /// Raises, keeps or clears the suspicion of the primary of a term.
    ///
    /// `last_success` is when the latest probe was sent that found the member to be the primary of
    /// its term.
    pub(crate) fn update_suspicion(
        &mut self,
        now: Instant,
        term: u64,
        is_failed: bool,
        last_success: Option<Instant>,
        probe_interval: Duration,
    ) {
        if self.suspicion.as_ref().is_some_and(|suspicion| suspicion.term != term) {
            self.suspicion = None;
        }
        match &mut self.suspicion {
            None if is_failed => {
                self.suspicion =
                    Some(PrimarySuspicion { term, successful_probes: 0, last_counted_at: now });
            }
            None => {}
            Some(suspicion) if is_failed => suspicion.successful_probes = 0,
            Some(suspicion) => {
                // Probes for confirmations are only milliseconds apart. Counting all of them would
                // clear the suspicion in one short interval without packet loss.
                let is_next = |at: &Instant| *at >= suspicion.last_counted_at + probe_interval / 2;
                if let Some(at) = last_success.filter(is_next) {
                    suspicion.successful_probes += 1;
                    suspicion.last_counted_at = at;
                }
                if suspicion.successful_probes >= CLEARING_PROBES {
                    self.suspicion = None;
                }
            }
        }
    }

    /// Moves the start of all timers forward by a time in which this host did not run.
    pub(crate) fn shift_timers(&mut self, now: Instant, gap: Duration) {
        let shift = |since: &mut Instant| *since = (*since + gap).min(now);
        self.missing_since.iter_mut().for_each(shift);
        self.agreed_since.iter_mut().for_each(shift);
        self.withheld_since.iter_mut().for_each(shift);
        self.fence.iter_mut().for_each(|(_, since)| shift(since));
    }

    /// Records the highest promised term above the group's, and when it was first seen.
    pub(crate) fn record_fence(&mut self, now: Instant, promised: Option<u64>) {
        self.fence = match (promised, self.fence) {
            (None, _) => None,
            (Some(term), Some(fence)) if fence.0 == term => Some(fence),
            (Some(term), _) => Some((term, now)),
        };
    }
}

/// Tracks since when a condition has held without interruption.
pub(crate) fn track_since(since: &mut Option<Instant>, now: Instant, holds: bool) {
    match holds {
        true => {
            since.get_or_insert(now);
        }
        false => *since = None,
    }
}

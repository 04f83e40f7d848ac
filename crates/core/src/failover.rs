//! Suspicion of primaries, and promotions by this host.

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

/// Successful probes that clear a suspicion. A link that loses every second packet would otherwise
/// raise and clear it several times a second.
const CLEARING_PROBES: u32 = 3;

/// Longest time between two runs of this host that counts in full towards a suspicion. Answers that
/// arrived during a longer gap may not have been handled yet.
pub(crate) const MAX_GAP: Duration = Duration::from_millis(100);

/// Gap between two runs after which everything that was suspected before is dropped.
pub(crate) const PAUSE_GAP: Duration = Duration::from_millis(500);

/// Suspicions and promotions by group.
#[derive(Default)]
pub struct FailoverTable {
    pub(crate) watches: SecondaryMap<GroupKey, GroupWatch>,
    /// Which hosts watch which groups.
    pub(crate) plan: WatchPlan,
    ran_at: Option<Instant>,
    /// Promotions started, which makes each attempt's id unique.
    pub(crate) attempts: u64,
}

/// What this host observes about the primary of one group.
#[derive(Default)]
pub(crate) struct GroupWatch {
    pub(crate) suspicion: Option<PrimarySuspicion>,
    /// Since when members have answered and none is the primary of the group's term.
    pub(crate) missing_since: Option<Instant>,
    /// Since when enough failure domains agree with the suspicion.
    pub(crate) agreed_since: Option<Instant>,
    /// Highest promised term above the group's term, and when it was first seen.
    pub(crate) fence: Option<(u64, Instant)>,
    /// Since when the primary is to be moved.
    pub(crate) withheld_since: Option<Instant>,
    /// Since when a member follows nobody, or a primary of an older term.
    pub(crate) astray: SecondaryMap<EndpointKey, Instant>,
    pub(crate) promotion: Option<Promotion>,
    /// Before when this host starts no further promotion of the group.
    pub(crate) rest_until: Option<Instant>,
}

/// A suspicion that the primary of a term has failed.
pub(crate) struct PrimarySuspicion {
    pub(crate) term: u64,
    good_probes: u32,
    judged_at: Instant,
}

impl FailoverTable {
    /// The watch of a group.
    pub(crate) fn watch(&mut self, group: GroupKey) -> &mut GroupWatch {
        if !self.watches.contains_key(group) {
            self.watches.insert(group, GroupWatch::default());
        }
        &mut self.watches[group]
    }

    /// Notes that the host runs, and returns the time since it last did.
    pub(crate) fn note_run(&mut self, now: Instant) -> Duration {
        let ran_at = self.ran_at.replace(now);
        ran_at.map_or(Duration::ZERO, |ran_at| now.saturating_duration_since(ran_at))
    }

    /// Drops suspicions and promotions after a pause: others may have acted meanwhile.
    pub(crate) fn reset(&mut self) {
        self.watches.clear();
    }

    /// Term of the suspected primary of a group.
    pub(crate) fn suspected_term(&self, group: GroupKey) -> Option<u64> {
        self.watches.get(group)?.suspicion.as_ref().map(|suspicion| suspicion.term)
    }
}

impl GroupWatch {
    /// Raises, keeps or clears the suspicion of the primary of a term.
    ///
    /// `good_probe` is when the last probe was sent that found the primary in office.
    pub(crate) fn judge(
        &mut self,
        now: Instant,
        term: u64,
        is_failed: bool,
        good_probe: Option<Instant>,
        probe_interval: Duration,
    ) {
        if self.suspicion.as_ref().is_some_and(|suspicion| suspicion.term != term) {
            self.suspicion = None;
        }
        match &mut self.suspicion {
            None if is_failed => {
                self.suspicion = Some(PrimarySuspicion { term, good_probes: 0, judged_at: now });
            }
            None => {}
            Some(suspicion) if is_failed => suspicion.good_probes = 0,
            Some(suspicion) => {
                // Probes that a confirmation needs follow each other within milliseconds and would
                // clear the suspicion in one short interval without loss.
                let is_next = |at: &Instant| *at >= suspicion.judged_at + probe_interval / 2;
                if let Some(at) = good_probe.filter(is_next) {
                    suspicion.good_probes += 1;
                    suspicion.judged_at = at;
                }
                if suspicion.good_probes >= CLEARING_PROBES {
                    self.suspicion = None;
                }
            }
        }
    }

    /// Moves the start of all waits forward by a time in which this host did not run.
    pub(crate) fn forgive(&mut self, now: Instant, gap: Duration) {
        let shift = |since: &mut Instant| *since = (*since + gap).min(now);
        self.missing_since.iter_mut().for_each(shift);
        self.agreed_since.iter_mut().for_each(shift);
        self.withheld_since.iter_mut().for_each(shift);
        self.fence.iter_mut().for_each(|(_, since)| shift(since));
    }

    /// Notes the highest promised term, when it is above the group's.
    pub(crate) fn note_fence(&mut self, now: Instant, promised: Option<u64>) {
        self.fence = match (promised, self.fence) {
            (None, _) => None,
            (Some(term), Some(fence)) if fence.0 == term => Some(fence),
            (Some(term), _) => Some((term, now)),
        };
    }
}

/// Starts a wait when a condition begins to hold and ends it when it does not.
pub(crate) fn hold_since(since: &mut Option<Instant>, now: Instant, holds: bool) {
    match holds {
        true => {
            since.get_or_insert(now);
        }
        false => *since = None,
    }
}

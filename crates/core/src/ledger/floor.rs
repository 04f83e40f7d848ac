//! Positions that a read has to see.
//!
//! A reply of a valid primary to a statement sent at `s` carries a position that includes every
//! commit acknowledged before `s`. A read that accepts data of age `a` and began at `b` is
//! therefore correct on any log that has the position of an observation sent at `b - a` or later.

use std::collections::VecDeque;
use std::time::Duration;

use tanagerdeal_wire::scalar_type;

use super::clock::BootInstant;
use super::endpoint::LogPosition;

/// Smallest distance of two observations that are kept; a denser history gives no lower floors.
const OBSERVATION_SPACING: Duration = Duration::from_millis(20);
/// Observations kept of each group; with the spacing they reach back more than 5 s.
const MAX_OBSERVATIONS: usize = 256;

scalar_type! {
    /// A position of a primary and when the statement that showed it was sent.
    pub struct PrimaryObservation {
        /// When the statement was sent.
        pub sent_at: BootInstant,
        /// Position in its reply.
        pub position: LogPosition,
    }
}

/// Observations of one group's primary, oldest first.
#[derive(Default)]
pub struct FloorHistory {
    observations: VecDeque<PrimaryObservation>,
    newest: Option<PrimaryObservation>,
}

impl FloorHistory {
    /// Adds an observation that was made under a valid lease.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::endpoint::LogPosition;
    /// use tanagerdeal_core::ledger::floor::{FloorHistory, PrimaryObservation};
    ///
    /// let (sent_at, position) = (BootInstant::from_micros(10), LogPosition { term: 1, number: 5 });
    /// let mut history = FloorHistory::default();
    /// history.observe(PrimaryObservation { sent_at, position });
    /// assert_eq!(history.floor(sent_at, Duration::ZERO), Some(position));
    /// assert_eq!(history.floor(sent_at.after(Duration::from_secs(1)), Duration::ZERO), None);
    /// ```
    pub fn observe(&mut self, observation: PrimaryObservation) {
        match self.newest {
            Some(newest) if newest.position.term > observation.position.term => return,
            Some(newest) if newest.position.term < observation.position.term => self.clear(),
            _ => (),
        }
        if self.newest.is_none_or(|newest| newest.sent_at <= observation.sent_at) {
            self.newest = Some(observation);
        }
        let is_spaced = self
            .observations
            .back()
            .is_none_or(|last| observation.sent_at >= last.sent_at.after(OBSERVATION_SPACING));
        if is_spaced {
            self.observations.push_back(observation);
        }
        if self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
    }

    /// The lowest position that a read has to see which began at `began_at` and accepts data of
    /// age `staleness`; nothing when no observation is recent enough.
    pub fn floor(&self, began_at: BootInstant, staleness: Duration) -> Option<LogPosition> {
        let oldest = began_at.before(staleness);
        let index = self.observations.partition_point(|entry| entry.sent_at < oldest);
        let spaced = self.observations.get(index);
        let newest = self.newest.as_ref().filter(|entry| entry.sent_at >= oldest);
        spaced.or(newest).map(|entry| entry.position)
    }

    /// The newest observation.
    pub fn newest(&self) -> Option<PrimaryObservation> {
        self.newest
    }

    /// Forgets everything, as positions of another term may have been rolled back.
    pub fn clear(&mut self) {
        self.observations.clear();
        self.newest = None;
    }
}

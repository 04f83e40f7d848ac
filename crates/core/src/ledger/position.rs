//! Log positions that replicas must have applied to serve reads.
//!
//! The reply of a valid primary to a statement sent at `s` carries a position that includes every
//! commit acknowledged before `s`. A read that began at `b` and accepts data of age `a` is
//! therefore correct on any log that includes the position of an observation sent at `b - a` or
//! later.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerdeal_wire::scalar_type;

use super::clock::{BootInstant, StoreInstant};
use super::endpoint::LogPosition;
use super::lease::StoreClock;

/// Smallest interval between observations that are kept. A denser history gives no lower minimum
/// positions.
const OBSERVATION_SPACING: Duration = Duration::from_millis(20);
/// Observations kept for each group. With the spacing they reach back more than 5 s.
const MAX_OBSERVATIONS: usize = 256;
/// How far back observations reach under load. A longer age admits no older position then.
pub const HISTORY_REACH: Duration = OBSERVATION_SPACING.saturating_mul(MAX_OBSERVATIONS as u32);

scalar_type! {
    /// A log position of a primary, with the time at which the statement that showed it was sent.
    pub struct PrimaryObservation {
        /// When the statement was sent.
        pub sent_at: BootInstant,
        /// Position in its reply.
        pub position: LogPosition,
    }

    /// An observation as sent to other hosts. Its time is in the store's clock, which all hosts
    /// share.
    #[derive(Deserialize, Serialize)]
    pub struct SharedObservation {
        /// Lower bound of the store's clock when the statement was sent.
        pub sent_at: StoreInstant,
        /// Position in its reply.
        pub position: LogPosition,
    }
}

impl PrimaryObservation {
    /// Converts the observation for other hosts.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
    /// use tanagerdeal_core::ledger::endpoint::LogPosition;
    /// use tanagerdeal_core::ledger::position::PrimaryObservation;
    /// use tanagerdeal_core::ledger::lease::HostLease;
    ///
    /// let at = |millis: u64| BootInstant::from_micros(millis * 1_000);
    /// let mut lease = HostLease::default();
    /// lease.note_clock(at(0), at(4), StoreInstant::from_millis(900));
    /// let clock = lease.clock().unwrap();
    /// let observation = PrimaryObservation { sent_at: at(50), position: LogPosition::default() };
    /// let shared = observation.share(&clock);
    /// // Its age is overstated by no more than the clock is uncertain.
    /// let known = PrimaryObservation::adopt(&shared, &clock);
    /// assert!(known.sent_at <= at(50) && known.sent_at >= at(44));
    /// ```
    pub fn share(&self, clock: &StoreClock) -> SharedObservation {
        SharedObservation { sent_at: clock.earliest(self.sent_at), position: self.position }
    }

    /// Converts another host's observation. It may count as older than it is, never as newer.
    pub fn adopt(shared: &SharedObservation, clock: &StoreClock) -> Self {
        Self { sent_at: clock.not_after(shared.sent_at), position: shared.position }
    }
}

/// Observations of one group's primary, oldest first.
#[derive(Default)]
pub struct PositionHistory {
    observations: VecDeque<PrimaryObservation>,
    newest: Option<PrimaryObservation>,
}

impl PositionHistory {
    /// Adds an observation that was made under a valid lease.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::endpoint::LogPosition;
    /// use tanagerdeal_core::ledger::position::{PositionHistory, PrimaryObservation};
    ///
    /// let (sent_at, position) = (BootInstant::from_micros(10), LogPosition { term: 1, number: 5 });
    /// let mut history = PositionHistory::default();
    /// history.observe(PrimaryObservation { sent_at, position });
    /// assert_eq!(history.min_position(sent_at, Duration::ZERO), Some(position));
    /// let late = sent_at.after(Duration::from_secs(1));
    /// assert_eq!(history.min_position(late, Duration::ZERO), None);
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

    /// The lowest position that suffices for a read that began at `began_at` and accepts data of
    /// age `staleness`. `None` if no observation is recent enough.
    pub fn min_position(&self, began_at: BootInstant, staleness: Duration) -> Option<LogPosition> {
        let oldest = began_at.before(staleness);
        let index = self.observations.partition_point(|entry| entry.sent_at < oldest);
        let spaced = self.observations.get(index);
        let newest = self.newest.as_ref().filter(|entry| entry.sent_at >= oldest);
        spaced.or(newest).map(|entry| entry.position)
    }

    /// The observations that another host needs for this read and those that follow it: the one
    /// that gives the minimum position, and the newest one.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::endpoint::LogPosition;
    /// use tanagerdeal_core::ledger::position::{PositionHistory, PrimaryObservation};
    ///
    /// let at = |millis: u64| BootInstant::from_micros(millis * 1_000);
    /// let mut history = PositionHistory::default();
    /// for sent_at in [at(100), at(200), at(300)] {
    ///     history.observe(PrimaryObservation { sent_at, position: LogPosition::default() });
    /// }
    /// let selected = history.observations_for(at(400), Duration::from_millis(250));
    /// assert_eq!(selected.iter().map(|entry| entry.sent_at).collect::<Vec<_>>(), [at(200), at(300)]);
    /// ```
    pub fn observations_for(
        &self,
        began_at: BootInstant,
        staleness: Duration,
    ) -> Vec<PrimaryObservation> {
        let oldest = began_at.before(staleness);
        let index = self.observations.partition_point(|entry| entry.sent_at < oldest);
        let newest = self.newest.filter(|entry| entry.sent_at >= oldest);
        let mut selected: Vec<PrimaryObservation> =
            self.observations.get(index).copied().into_iter().chain(newest).collect();
        selected.dedup();
        selected
    }

    /// The newest observation.
    pub fn newest(&self) -> Option<PrimaryObservation> {
        self.newest
    }

    /// Drops all observations, as positions of another term may have been rolled back.
    pub fn clear(&mut self) {
        self.observations.clear();
        self.newest = None;
    }
}

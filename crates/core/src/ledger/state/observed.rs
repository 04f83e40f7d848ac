//! Observed log positions of primaries, and their exchange between hosts.

use std::time::Duration;

use super::{HostState, PrimaryPermit};
use crate::ledger::clock::BootInstant;
use crate::ledger::position::{PrimaryObservation, SharedObservation};

impl HostState {
    /// Records the log position in a reply of a primary that was used with a permit.
    pub fn observe_primary(
        &mut self,
        group: &str,
        permit: PrimaryPermit,
        observation: PrimaryObservation,
        now: BootInstant,
    ) {
        if self.is_permit_valid(group, permit, now) {
            self.positions.entry(group.to_owned()).or_default().observe(observation);
            self.endpoints.absences.note_position(group, &observation);
            self.unsent_observations.insert(group.to_owned(), observation);
        }
    }

    /// Applies another host's observation of a group's primary.
    pub fn apply_observation(&mut self, group: &str, shared: &SharedObservation) {
        let Some(clock) = self.lease.clock().filter(|_| self.groups.get(group).is_some()) else {
            return;
        };
        let observation = PrimaryObservation::adopt(shared, &clock);
        self.endpoints.absences.note_position(group, &observation);
        self.positions.entry(group.to_owned()).or_default().observe(observation);
    }

    /// Applies the last observation that another host has of a primary that is being replaced.
    pub fn note_last(&mut self, group: &str, shared: &SharedObservation) {
        let entry = self.groups.get(group);
        if entry.is_some_and(|entry| entry.record.change.is_some()) {
            self.apply_observation(group, shared);
        }
    }

    /// Observations of primaries since the last call, to be sent to other hosts.
    pub fn take_observed(&mut self) -> Vec<(String, SharedObservation)> {
        let Some(clock) = self.lease.clock() else { return Vec::new() };
        let observed = std::mem::take(&mut self.unsent_observations).into_iter();
        observed.map(|(group, observation)| (group, observation.share(&clock))).collect()
    }

    /// Observations that another host needs for a read of a group that begins at `now` and accepts
    /// data of age `staleness`.
    pub fn observations(
        &self,
        group: &str,
        staleness: Duration,
        now: BootInstant,
    ) -> Vec<SharedObservation> {
        let Some(clock) = self.lease.clock() else { return Vec::new() };
        let history = self.positions.get(group).into_iter();
        history
            .flat_map(|history| history.observations_for(now, staleness))
            .map(|observation| observation.share(&clock))
            .collect()
    }
}

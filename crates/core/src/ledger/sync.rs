//! How many replicas have received a commit before it is acknowledged.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::catalog::{GroupLimits, SiteCatalog};
use super::clock::BootInstant;
use super::state::HostState;

/// Time for which a number that was lowered still counts, as endpoints may go on by it.
const LOWERED_TERM: Duration = Duration::from_millis(15_000);

/// Numbers of synchronous replicas that a configuration has lowered, by group, and until when each
/// still counts.
#[derive(Default)]
pub struct SyncTable {
    lowered: HashMap<String, (u32, BootInstant)>,
}

impl SyncTable {
    fn active(&self, group: &str, now: BootInstant) -> u32 {
        let lowered = self.lowered.get(group).filter(|(_, until)| now < *until);
        lowered.map_or(0, |(number, _)| *number)
    }

    /// Records the numbers that are lower in `catalog` than in the configuration before.
    fn note_change(&mut self, former: &SiteCatalog, catalog: &SiteCatalog, now: BootInstant) {
        self.lowered.retain(|_, (_, until)| now < *until);
        for (group, limits) in former.groups() {
            if limits.sync_replicas > catalog.group(group).map_or(0, |limits| limits.sync_replicas)
            {
                let number = limits.sync_replicas.max(self.active(group, now));
                self.lowered.insert(group.to_owned(), (number, now.after(LOWERED_TERM)));
            }
        }
    }
}

impl HostState {
    /// Puts a configuration into effect.
    pub fn adopt_catalog(&mut self, catalog: Arc<SiteCatalog>, now: BootInstant) {
        if let Some(former) = &self.catalog {
            self.lowered_sync.note_change(former, &catalog, now);
        }
        self.catalog = Some(catalog);
    }

    /// Number of replicas that may have had to receive a commit of a group before it was
    /// acknowledged. While a change of the configuration takes effect, the larger number counts.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::catalog::{GroupLimits, SiteCatalog};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::state::HostState;
    ///
    /// let catalog = |version, sync_replicas| {
    ///     let limits = GroupLimits { connections: 20, sync_replicas };
    ///     let (groups, limit) = (vec![("g1".to_owned(), limits)], Duration::from_secs(3));
    ///     Arc::new(SiteCatalog::new(version, Vec::new(), Vec::new(), groups, limit, limit))
    /// };
    /// let now = BootInstant::from_micros(0);
    /// let mut state = HostState::new("h1", "d1", Default::default(), now);
    /// state.adopt_catalog(catalog(1, 1), now);
    /// state.adopt_catalog(catalog(2, 0), now);
    /// assert_eq!(state.sync_replicas("g1", now), 1);
    /// assert_eq!(state.sync_replicas("g1", now.after(Duration::from_secs(15))), 0);
    /// ```
    pub fn sync_replicas(&self, group: &str, now: BootInstant) -> usize {
        let limits = self.catalog.as_ref().and_then(|catalog| catalog.group(group));
        let number = limits.map_or(0, |GroupLimits { sync_replicas, .. }| *sync_replicas);
        number.max(self.lowered_sync.active(group, now)) as usize
    }
}

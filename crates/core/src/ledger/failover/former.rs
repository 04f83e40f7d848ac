//! Former primaries that do not know of their successor.
//!
//! One that could not be reached when its successor was published goes on leading its term until it
//! hears of the later one.

use tanagerdeal_wire::value_type;

use crate::ledger::endpoint::EndpointRole;
use crate::ledger::state::HostState;

value_type! {
    /// An endpoint that may lead a term before that of its group's primary.
    pub struct FormerPrimary {
        /// Identity of the endpoint.
        pub endpoint: String,
        /// Its group.
        pub group: String,
        /// Term of the group's primary.
        pub term: u64,
    }
}

impl HostState {
    /// Endpoints that registered as primaries, of groups whose verified row names another one.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::state::HostState;
    ///
    /// let now = BootInstant::from_micros(0);
    /// assert!(HostState::new("h1", "d1", Default::default(), now).former_primaries().is_empty());
    /// ```
    pub fn former_primaries(&self) -> Vec<FormerPrimary> {
        let groups = self.groups.entries().map(|entry| &entry.record);
        let settled = groups
            .filter(|record| record.change.is_none() && self.groups.is_verified(&record.group));
        let former = settled.flat_map(|record| {
            let endpoints = self.endpoints.of_group(&record.group).map(|(_, state)| &state.record);
            let is_former = |id: &str, role| role == EndpointRole::Primary && id != record.primary;
            endpoints.filter(move |endpoint| is_former(&endpoint.id, endpoint.role)).map(
                |endpoint| FormerPrimary {
                    endpoint: endpoint.id.clone(),
                    group: record.group.clone(),
                    term: record.term,
                },
            )
        });
        former.collect()
    }
}

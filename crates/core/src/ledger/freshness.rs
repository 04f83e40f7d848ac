//! Whether the configuration that decides on the access of clients is current.

use super::clock::BootInstant;
use super::state::HostState;

impl HostState {
    /// Records that the configuration was confirmed to be the newest one, and that it counts as
    /// fresh until `deadline`.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::state::HostState;
    ///
    /// let at = BootInstant::from_micros;
    /// let mut state = HostState::new("h1", "d1", Default::default(), at(0));
    /// state.confirm_catalog(at(9));
    /// assert!(state.is_catalog_fresh(at(8)) && !state.is_catalog_fresh(at(9)));
    /// ```
    pub fn confirm_catalog(&mut self, deadline: BootInstant) {
        self.catalog_deadline = self.catalog_deadline.max(deadline);
    }

    /// Until when the configuration counts as fresh; the start of the clock if it was never
    /// confirmed.
    pub fn catalog_deadline(&self) -> BootInstant {
        self.catalog_deadline
    }

    /// Whether the configuration was confirmed so recently that a newer one need not be in force
    /// yet.
    pub fn is_catalog_fresh(&self, now: BootInstant) -> bool {
        now < self.catalog_deadline
    }
}

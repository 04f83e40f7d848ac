//! What a host may spend of the customers' rates, as its lease allows.

use crate::ledger::clock::BootInstant;
use crate::ledger::state::HostState;

impl HostState {
    /// Admits one operation of a customer. Other hosts take over the shares of this one when its
    /// lease has ended, so then it spends borrowed tokens only.
    ///
    /// # Errors
    ///
    /// Fails if there is no token, with the instant at which one will be available if the share is
    /// large enough.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::state::HostState;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let mut state = HostState::new("h1", "d1", Default::default(), now);
    /// assert_eq!(state.admit("customer", now), Err(None));
    /// ```
    pub fn admit(&mut self, customer: &str, now: BootInstant) -> Result<(), Option<BootInstant>> {
        match self.lease.is_valid(now) {
            true => self.quota.admit(customer, now),
            false => self.quota.admit_borrowed(customer, now),
        }
    }

    /// Lends up to `tokens` of a customer's rate to another host. Returns how many it gets.
    pub fn lend(&mut self, customer: &str, tokens: u64, now: BootInstant) -> u64 {
        match self.lease.is_valid(now) {
            true => self.quota.lend(customer, tokens, now),
            false => 0,
        }
    }
}

//! Shares after a restoration of the store.
//!
//! The rows of a copy give to a host what it has passed on since. So until every host has seen them
//! or has lost its lease, a share is the smaller of what the host holds and what the row says.

use super::QuotaTable;
use crate::ledger::clock::BootInstant;

impl QuotaTable {
    /// Keeps the shares of this host from growing until `deadline`.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::quota::QuotaTable;
    ///
    /// let at = BootInstant::from_micros;
    /// let mut table = QuotaTable::new("h1", Default::default(), at(0));
    /// table.hold_growth(at(9));
    /// assert!(!table.end_growth_hold(at(8)));
    /// assert!(table.end_growth_hold(at(9)));
    /// assert!(!table.end_growth_hold(at(10)));
    /// ```
    pub fn hold_growth(&mut self, deadline: BootInstant) {
        self.growth_held_until = self.growth_held_until.max(Some(deadline));
    }

    /// Ends the hold once its time has come, and returns whether it has ended now. All rows then
    /// have to be applied again.
    pub fn end_growth_hold(&mut self, now: BootInstant) -> bool {
        let is_over = self.growth_held_until.is_some_and(|deadline| now >= deadline);
        if is_over {
            self.growth_held_until = None;
            self.shares.values_mut().for_each(|share| share.version = 0);
        }
        is_over
    }

    /// Whether the shares must not grow.
    pub fn is_growth_held(&self) -> bool {
        self.growth_held_until.is_some()
    }
}

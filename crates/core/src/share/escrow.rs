//! Units of one resource: the base share less loans given plus loans taken.

use std::time::Instant;

use tanagerdeal_wire::value_type;

value_type! {
    /// Units lent until an instant.
    #[derive(Copy)]
    pub(crate) struct LoanTerm {
        pub(crate) units: u64,
        pub(crate) until: Instant,
    }

    /// Loans of one resource.
    #[derive(Default)]
    pub(crate) struct EscrowLedger {
        given: Vec<LoanTerm>,
        taken: Vec<LoanTerm>,
    }
}

impl EscrowLedger {
    /// Units given that have not come back.
    pub(crate) fn given(&self, now: Instant) -> u64 {
        self.given.iter().filter(|loan| loan.until > now).map(|loan| loan.units).sum()
    }

    /// Units taken that have not ended.
    pub(crate) fn taken(&self, now: Instant) -> u64 {
        self.taken.iter().filter(|loan| loan.until > now).map(|loan| loan.units).sum()
    }

    /// Units held with a base share.
    pub(crate) fn held(&self, now: Instant, base: u64) -> u64 {
        (base + self.taken(now)).saturating_sub(self.given(now))
    }

    /// Units that were held all the time from `since` to `now`, while the base share was at least
    /// `base`: loans taken that have ended do not count, loans given that have come back still do.
    pub(crate) fn held_throughout(&self, since: Instant, now: Instant, base: u64) -> u64 {
        (base + self.taken(now)).saturating_sub(self.given(since))
    }

    /// When the next loan taken ends.
    pub(crate) fn next_end(&self, now: Instant) -> Option<Instant> {
        self.taken.iter().map(|loan| loan.until).filter(|until| *until > now).min()
    }

    /// Gives units until an instant.
    pub(crate) fn give(&mut self, units: u64, until: Instant) {
        self.given.push(LoanTerm { units, until });
    }

    /// Takes units until an instant.
    pub(crate) fn take(&mut self, units: u64, until: Instant) {
        self.taken.push(LoanTerm { units, until });
    }

    /// Forgets loans that ended by an instant up to which everything is settled.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.given.retain(|loan| loan.until > now);
        self.taken.retain(|loan| loan.until > now);
    }

    /// Whether no loan is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.given.is_empty() && self.taken.is_empty()
    }
}

//! Units of one resource: the base share less loans given plus loans taken.

use std::time::Instant;

use tanagerdeal_wire::{HostName, value_type};

value_type! {
    /// The other side of a loan.
    pub(crate) struct LoanParty {
        pub(crate) host: HostName,
        /// Incarnation of a borrower: an earlier one may still run and use its loans. Loans taken
        /// from all incarnations of a lender count as one party's, which is the smaller sum.
        pub(crate) incarnation: u64,
    }

    /// Units lent until an instant.
    pub(crate) struct LoanTerm {
        pub(crate) party: LoanParty,
        pub(crate) units: u64,
        pub(crate) until: Instant,
    }

    /// Loans of one resource.
    ///
    /// The loans between the same two parties do not add up: the largest one that has not ended
    /// counts, on both sides. A loan can thereby be renewed before its end although its lender has
    /// nothing else to give, and a repeated message changes nothing.
    #[derive(Default)]
    pub(crate) struct EscrowLedger {
        given: Vec<LoanTerm>,
        taken: Vec<LoanTerm>,
    }
}

impl EscrowLedger {
    /// Units given that have not come back.
    pub(crate) fn given(&self, now: Instant) -> u64 {
        sum(&self.given, now)
    }

    /// Units given to one party.
    pub(crate) fn given_to(&self, now: Instant, party: &LoanParty) -> u64 {
        largest(&self.given, now, party)
    }

    /// Units taken that have not ended.
    pub(crate) fn taken(&self, now: Instant) -> u64 {
        sum(&self.taken, now)
    }

    /// Units taken from one party.
    pub(crate) fn taken_from(&self, now: Instant, party: &LoanParty) -> u64 {
        largest(&self.taken, now, party)
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

    /// Notes a loan given.
    pub(crate) fn give(&mut self, loan: LoanTerm) {
        insert(&mut self.given, loan);
    }

    /// Notes a loan taken.
    pub(crate) fn take(&mut self, loan: LoanTerm) {
        insert(&mut self.taken, loan);
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

/// Adds a loan, and drops those of the same party that are neither larger nor longer.
fn insert(loans: &mut Vec<LoanTerm>, loan: LoanTerm) {
    let covers = |known: &LoanTerm| {
        known.party == loan.party && known.units <= loan.units && known.until <= loan.until
    };
    loans.retain(|known| !covers(known));
    loans.push(loan);
}

fn largest(loans: &[LoanTerm], now: Instant, party: &LoanParty) -> u64 {
    let valid = loans.iter().filter(|loan| loan.until > now && loan.party == *party);
    valid.map(|loan| loan.units).max().unwrap_or(0)
}

fn sum(loans: &[LoanTerm], now: Instant) -> u64 {
    // Each party is counted at its largest loan, the first one of equal size.
    let counts = |(place, loan): &(usize, &LoanTerm)| {
        let is_larger = |(other, known): (usize, &LoanTerm)| {
            known.until > now
                && known.party == loan.party
                && (known.units > loan.units || (known.units == loan.units && other < *place))
        };
        loan.until > now && !loans.iter().enumerate().any(is_larger)
    };
    loans.iter().enumerate().filter(counts).map(|(_, loan)| loan.units).sum()
}

//! Ledger of the loans of one resource.

use std::time::Instant;

use tanagerdeal_wire::{HostName, value_type};

value_type! {
    /// The other host of a loan.
    pub(crate) struct LoanPeer {
        pub(crate) host: HostName,
        /// Incarnation of a borrower; an earlier one may still run and use its loans. For a lender
        /// it is 0: units borrowed from all its incarnations count as one lender's, which gives the
        /// smaller sum.
        pub(crate) incarnation: u64,
    }

    /// A number of units, lent until an instant.
    pub(crate) struct LoanEntry {
        pub(crate) peer: LoanPeer,
        pub(crate) units: u64,
        pub(crate) expires_at: Instant,
    }

    /// Loans of one resource.
    ///
    /// Loans between the same two hosts do not add up: both sides count the largest one that has
    /// not expired. A loan can therefore be renewed before it expires even if its lender has
    /// nothing else to give, and a duplicate message has no effect.
    #[derive(Default)]
    pub(crate) struct EscrowLedger {
        lent: Vec<LoanEntry>,
        borrowed: Vec<LoanEntry>,
    }
}

impl EscrowLedger {
    /// Units lent that have not returned.
    pub(crate) fn lent(&self, now: Instant) -> u64 {
        total_units(&self.lent, now)
    }

    /// Units lent to one borrower.
    pub(crate) fn lent_to(&self, now: Instant, peer: &LoanPeer) -> u64 {
        largest_from(&self.lent, now, peer)
    }

    /// Units borrowed that have not expired.
    pub(crate) fn borrowed(&self, now: Instant) -> u64 {
        total_units(&self.borrowed, now)
    }

    /// Units borrowed from one lender.
    pub(crate) fn borrowed_from(&self, now: Instant, peer: &LoanPeer) -> u64 {
        largest_from(&self.borrowed, now, peer)
    }

    /// Units held with a given base share.
    pub(crate) fn held(&self, now: Instant, base: u64) -> u64 {
        (base + self.borrowed(now)).saturating_sub(self.lent(now))
    }

    /// Units held throughout the time from `since` to `now`, if the base share was never below
    /// `base`: expired loans from others do not count, and units that returned in that time still
    /// count as lent.
    pub(crate) fn held_throughout(&self, since: Instant, now: Instant, base: u64) -> u64 {
        (base + self.borrowed(now)).saturating_sub(self.lent(since))
    }

    /// When the next loan to this host expires.
    pub(crate) fn next_end(&self, now: Instant) -> Option<Instant> {
        self.borrowed
            .iter()
            .map(|loan| loan.expires_at)
            .filter(|expires_at| *expires_at > now)
            .min()
    }

    /// Records a loan to another host.
    pub(crate) fn record_lent(&mut self, loan: LoanEntry) {
        insert(&mut self.lent, loan);
    }

    /// Records a loan from another host.
    pub(crate) fn record_borrowed(&mut self, loan: LoanEntry) {
        insert(&mut self.borrowed, loan);
    }

    /// Drops expired loans. A token bucket that they feed must be settled up to `now` first.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.lent.retain(|loan| loan.expires_at > now);
        self.borrowed.retain(|loan| loan.expires_at > now);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty()
    }
}

/// Adds a loan and drops those of the same host that are neither larger nor longer.
fn insert(loans: &mut Vec<LoanEntry>, loan: LoanEntry) {
    let is_superseded = |other: &LoanEntry| {
        other.peer == loan.peer && other.units <= loan.units && other.expires_at <= loan.expires_at
    };
    loans.retain(|other| !is_superseded(other));
    loans.push(loan);
}

fn largest_from(loans: &[LoanEntry], now: Instant, peer: &LoanPeer) -> u64 {
    let valid = loans.iter().filter(|loan| loan.expires_at > now && loan.peer == *peer);
    valid.map(|loan| loan.units).max().unwrap_or(0)
}

fn total_units(loans: &[LoanEntry], now: Instant) -> u64 {
    // Each host counts with its largest loan; of equal ones, the first.
    let is_counted = |(index, loan): &(usize, &LoanEntry)| {
        let is_larger = |(other_index, other): (usize, &LoanEntry)| {
            other.expires_at > now
                && other.peer == loan.peer
                && (other.units > loan.units || (other.units == loan.units && other_index < *index))
        };
        loan.expires_at > now && !loans.iter().enumerate().any(is_larger)
    };
    loans.iter().enumerate().filter(is_counted).map(|(_, loan)| loan.units).sum()
}

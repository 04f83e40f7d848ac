//! What this host holds of one customer's rate, and of one endpoint's connections.

use std::time::{Duration, Instant};

use tanagerdeal_wire::value_type;

use super::demand::{DemandMeter, PeakMeter};
use super::escrow::{EscrowLedger, LoanTerm};
use super::tokens::TokenLoans;
use crate::limit::{CustomerRate, MILLITOKEN, RATE_UNITS, REQUEST_TOKENS, TokenBucket};

/// Part of the use of what is held, in percent, above which more is borrowed.
const BORROW_PERCENT: u64 = 70;

/// Held units for each unit of recent demand, in percent, that borrower and lender aim at.
const DEMAND_PERCENT: u64 = 150;

/// Part of the base share, as a divisor, that is never lent.
const FLOOR_DIVISOR: u64 = 8;

/// Part of a request's tokens, in percent, that a share should be able to hold for a request that
/// waits. Loans come from several hosts and are rounded, so that some more than one is needed.
const LEAST_PERCENT: u64 = 125;

/// Tokens that a base share can hold, or collects in a second, below which no units are borrowed for long. Each loan of units
/// loses tokens where it ends and where it begins, which is more than such a share can spare.
const SMALL_BURST: u64 = 4 * REQUEST_TOKENS;
const SMALL_RATE: u64 = 8 * REQUEST_TOKENS;

/// Microtokens that are asked for in addition, because each of two lenders rounds down.
const ROUNDING: u64 = 2 * MILLITOKEN;

/// Time after the last request for tokens for which the home of a customer goes on borrowing.
const USE_KEPT: Duration = Duration::from_secs(30);

/// Requests a second below which a host counts as idle.
const LEAST_DEMAND: f64 = 0.01;

value_type! {
    /// Time for which units are borrowed.
    #[derive(Copy, Hash)]
    pub(crate) enum LoanKind {
        /// For as long as the demand lasts; renewed before its end.
        Lasting,
        /// For one request.
        Brief,
    }
}

/// Share of a customer's rate.
pub(super) struct RateHolding {
    pub(super) ledger: EscrowLedger,
    pub(super) demand: DemandMeter,
    bucket: TokenBucket,
    /// When tokens were asked for last, here or by another host.
    used_at: Option<Instant>,
    /// Tokens lent, whose capacity is withheld until they can no longer be used elsewhere.
    lent: TokenLoans,
    /// Tokens taken beyond the capacity of the share.
    fetched: TokenLoans,
}

/// Share of an endpoint's connections.
#[derive(Default)]
pub(super) struct ConnectionHolding {
    pub(super) ledger: EscrowLedger,
    pub(super) total: u32,
    /// Connections held.
    pub(super) in_use: u64,
    pub(super) peak: PeakMeter,
}

impl RateHolding {
    pub(super) fn new(now: Instant, rate: CustomerRate) -> Self {
        let bucket = TokenBucket::new(now, rate);
        let (lent, fetched) = (TokenLoans::default(), TokenLoans::default());
        let (ledger, demand) = (EscrowLedger::default(), DemandMeter::default());
        Self { ledger, demand, bucket, used_at: None, lent, fetched }
    }

    /// Adds tokens up to now for the units that were held all the time, and returns the units held.
    pub(super) fn settle(&mut self, now: Instant, base: u64) -> u64 {
        let since = self.bucket.settled_at();
        let throughout = self.ledger.held_throughout(since, now, base);
        self.bucket.settle(now, throughout);
        // Tokens lent at `since` left no room for new ones until they ended, perhaps only now.
        self.bucket.limit(self.bucket.capacity(throughout).saturating_sub(self.lent.sum(since)));
        self.ledger.prune(now);
        self.lent.prune(self.bucket.settled_at());
        self.fetched.prune(now);
        self.ledger.held(now, base)
    }

    pub(super) fn clamp(&mut self, now: Instant, base: u64) {
        let held = self.ledger.held(now, base);
        self.bucket.limit(self.bucket.capacity(held).saturating_sub(self.lent.sum(now)));
    }

    /// Units given, including those whose capacity is withheld for tokens lent.
    pub(super) fn given(&self, now: Instant) -> u64 {
        self.ledger.given(now) + self.withheld(now)
    }

    fn withheld(&self, now: Instant) -> u64 {
        let burst = u64::from(self.bucket.rate().burst).max(1);
        self.lent.sum(now).div_ceil(burst)
    }

    /// Whether nothing is lent or borrowed.
    pub(super) fn is_idle(&self) -> bool {
        self.ledger.is_empty() && self.lent.is_empty() && self.fetched.is_empty()
    }

    /// Lends tokens until an instant, as many as some units hold at most. Until then their capacity
    /// is withheld from the base share, but the lender keeps its rate: tokens lent are thereby never
    /// part of two buckets, and a loan costs the lender nothing else.
    pub(super) fn lend_tokens(&mut self, now: Instant, base: u64, term: &LoanTerm) -> u64 {
        self.settle(now, base);
        self.used_at = Some(now);
        // Units taken from others count if they last as long as the loan.
        let lasting = base + self.ledger.taken(term.until);
        let free = self.bucket.capacity(lasting.saturating_sub(self.ledger.given(now)));
        let free = free.saturating_sub(self.lent.sum(now));
        let millitokens =
            self.bucket.withdraw(self.bucket.capacity(term.units).min(free) / MILLITOKEN);
        self.lent.add(term.until, millitokens * MILLITOKEN);
        self.clamp(now, base);
        millitokens
    }

    /// Takes tokens that were lent until an instant. Those for which the share has capacity stay.
    pub(super) fn accept_tokens(
        &mut self,
        now: Instant,
        base: u64,
        (until, millitokens): (Instant, u64),
    ) {
        let held = self.settle(now, base);
        let before = self.bucket.tokens();
        self.bucket.deposit(millitokens, held);
        self.clamp(now, base);
        let kept = self.bucket.tokens().saturating_sub(before);
        self.fetched.add(until, (millitokens * MILLITOKEN).saturating_sub(kept));
    }

    /// Units whose capacity holds the tokens that a number of waiting requests lack.
    pub(super) fn missing_units(&mut self, now: Instant, base: u64, requests: u64) -> u64 {
        self.settle(now, base);
        let burst = u64::from(self.bucket.rate().burst).max(1);
        let there = self.bucket.tokens() + self.fetched.sum(now);
        let missing = (requests * REQUEST_TOKENS).saturating_sub(there);
        let rounding = if missing > 0 { ROUNDING } else { 0 };
        (missing + rounding).div_ceil(burst).min(RATE_UNITS)
    }

    /// Whether a loan has all the tokens that were asked for as units.
    pub(super) fn is_full(&self, millitokens: u64, units: u64) -> bool {
        millitokens >= self.bucket.capacity(units) / MILLITOKEN
    }

    /// Whether the base share is too small for loans of units.
    pub(super) fn is_small(&self, base: u64) -> bool {
        let per_s = u64::from(self.bucket.rate().rate_per_s) * base;
        self.bucket.capacity(base) < SMALL_BURST || per_s < SMALL_RATE
    }

    /// Whether tokens were asked for lately.
    pub(super) fn is_used(&self, now: Instant) -> bool {
        self.used_at.is_some_and(|at| now < at + USE_KEPT)
    }

    /// Takes the tokens of one request, borrowed ones first.
    fn take(&mut self, now: Instant) -> bool {
        let borrowed = self.fetched.sum(now).min(REQUEST_TOKENS);
        if borrowed == 0 {
            return self.bucket.take();
        }
        let is_taken = self.bucket.spend(REQUEST_TOKENS - borrowed);
        if is_taken {
            self.fetched.spend(borrowed);
        }
        is_taken
    }

    pub(super) fn change_rate(&mut self, now: Instant, base: u64, rate: CustomerRate) {
        if rate != self.bucket.rate() {
            let held = self.settle(now, base);
            self.bucket.change_rate(rate, held);
            self.clamp(now, base);
        }
    }

    pub(super) fn take_token(
        &mut self,
        now: Instant,
        base: u64,
        ahead: u64,
    ) -> Result<(), Option<Instant>> {
        let held = self.settle(now, base);
        self.used_at = Some(now);
        match ahead == 0 && self.take(now) {
            true => Ok(()),
            false => Err(self.bucket.ready_at(held, ahead + 1)),
        }
    }

    pub(super) fn accept(&mut self, now: Instant, base: u64, (loan, millitokens): (LoanTerm, u64)) {
        self.settle(now, base);
        self.ledger.take(loan);
        self.bucket.deposit(millitokens, self.ledger.held(now, base));
        self.clamp(now, base);
    }

    /// Units and millitokens lent from the base share, what the borrower has already included. A loan
    /// carries no more tokens than its additional units can hold.
    pub(super) fn lend(&mut self, now: Instant, base: u64, wanted: LoanTerm) -> (u64, u64) {
        let held = self.settle(now, base);
        // A small share is lent to the home of its customer, which lends the tokens back.
        let needed = match self.is_small(base) {
            true => 0,
            false => self.units_for(self.demand.lasting_rate(now)).max(self.floor(base)),
        };
        let free = base.saturating_sub(self.withheld(now));
        let units = lendable(&self.ledger, now, (free, needed), &wanted);
        if units == 0 {
            return (0, 0);
        }
        let added = units.saturating_sub(self.ledger.given_to(now, &wanted.party));
        let capacity = self.bucket.capacity(added);
        let tokens = match self.demand.rate(now) < 1.0 {
            true => capacity.min(self.bucket.tokens()),
            false => proportion(self.bucket.tokens(), added, held).min(capacity),
        };
        let millitokens = self.bucket.withdraw(tokens / MILLITOKEN);
        self.ledger.give(LoanTerm { units, ..wanted });
        self.clamp(now, base);
        (units, millitokens)
    }

    /// Units that are never lent. A base share that cannot hold the tokens of one request serves
    /// nobody and is lent whole.
    fn floor(&self, base: u64) -> u64 {
        match self.bucket.capacity(base) < REQUEST_TOKENS {
            true => 0,
            false => base / FLOOR_DIVISOR,
        }
    }

    /// Units and millitokens of the whole base share; called on a settled holding.
    pub(super) fn hand_over(&mut self, now: Instant, base: u64) -> (u64, u64) {
        let units = base.saturating_sub(self.given(now));
        let tokens = self.bucket.capacity(units).min(self.bucket.tokens());
        (units, self.bucket.withdraw(tokens / MILLITOKEN))
    }

    /// Units for a demand with a margin.
    fn units_for(&self, per_s: f64) -> u64 {
        let rate = f64::from(self.bucket.rate().rate_per_s.max(1));
        let units = per_s / rate * RATE_UNITS as f64 * DEMAND_PERCENT as f64 / 100.0;
        (units as u64).min(RATE_UNITS)
    }

    /// Units whose capacity holds the tokens of a request.
    fn least_units(&self) -> u64 {
        let burst = u64::from(self.bucket.rate().burst).max(1);
        (REQUEST_TOKENS * LEAST_PERCENT / 100).div_ceil(burst).min(RATE_UNITS)
    }

    /// Units missing by an instant for the recent demand, and the time for which they are needed.
    ///
    /// A request that waits although the share covers the demand needs units only to hold its tokens.
    /// They are borrowed for a moment, so that other hosts can use them for their next request.
    pub(super) fn shortage(
        &mut self,
        now: Instant,
        then: Instant,
        (base, is_waiting): (u64, bool),
    ) -> (u64, LoanKind) {
        let demand = self.demand.lasting_rate(now);
        if demand < LEAST_DEMAND && !is_waiting {
            return (0, LoanKind::Lasting);
        }
        let held_now = self.settle(now, base);
        let held = self.ledger.held(then, base).min(held_now);
        let used = self.units_for(demand) * 100 / DEMAND_PERCENT;
        let full = self.bucket.capacity(held_now);
        let is_low = self.bucket.tokens() < full * (100 - BORROW_PERCENT) / 100;
        let rising = self.units_for(demand.max(self.demand.rising_rate(now)));
        let lasting = match () {
            _ if self.is_small(base) => 0,
            _ if is_waiting => rising,
            _ if is_low && used > held / 2 => rising.max(held + held / 2),
            _ if used > held * BORROW_PERCENT / 100 => self.units_for(demand),
            _ => 0,
        };
        let brief = self.least_units().max(held_now + held_now / 2).min(RATE_UNITS);
        match is_waiting && lasting < brief {
            true => (brief - held_now, LoanKind::Brief),
            false => (lasting.min(RATE_UNITS).saturating_sub(held), LoanKind::Lasting),
        }
    }
}

impl ConnectionHolding {
    /// Connections lent: those of the base share that were not wanted lately, less a part that is
    /// kept. A single connection is lent whole, or hosts without one would never get any.
    pub(super) fn lend(&mut self, now: Instant, base: u64, wanted: LoanTerm) -> u64 {
        self.ledger.prune(now);
        let needed = self.peak.peak().max(self.in_use).max(base / 2);
        let units = lendable(&self.ledger, now, (base, needed), &wanted);
        if units > 0 {
            self.ledger.give(LoanTerm { units, ..wanted });
        }
        units
    }
}

/// Units that can be lent to a party in all: what it has already, and what is neither needed here
/// nor lent to others. A loan is not renewed in full when its lender needs the units itself.
fn lendable(
    ledger: &EscrowLedger,
    now: Instant,
    (base, needed): (u64, u64),
    wanted: &LoanTerm,
) -> u64 {
    let current = ledger.given_to(now, &wanted.party);
    let others = ledger.given(now) - current;
    let total = (base + ledger.taken(now)).saturating_sub(others + needed);
    wanted.units.min(total).min(base.saturating_sub(others))
}

fn proportion(amount: u64, part: u64, whole: u64) -> u64 {
    let share = u128::from(amount) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(share).unwrap_or(u64::MAX)
}

//! This host's holdings of one customer's rate and of one endpoint's connections.

use std::time::{Duration, Instant};

use tanagerdeal_wire::value_type;

use super::demand::{DemandMeter, PeakMeter};
use super::escrow::{EscrowLedger, LoanEntry};
use super::tokens::TokenLoans;
use crate::limit::{
    CustomerRate, MICROTOKENS_PER_MILLITOKEN, MICROTOKENS_PER_REQUEST, RATE_UNITS, TokenBucket,
};

/// Utilisation of the units held, in percent, above which more are borrowed.
const BORROW_THRESHOLD_PERCENT: u64 = 70;

/// Units that borrower and lender aim to hold, in percent of recent demand.
const TARGET_PERCENT: u64 = 150;

/// Fraction of the base share, as a divisor, that is never lent.
const RESERVE_DIVISOR: u64 = 8;

/// Capacity that a share should have for a waiting request, in percent of a request's tokens. More
/// than 100 is needed because loans come from several hosts and each is rounded down.
const REQUEST_CAPACITY_PERCENT: u64 = 125;

/// Capacity of a base share, and its tokens per second, below which no units are borrowed for long.
/// A loan of units loses tokens when it starts and when it expires, which is more than such a share
/// can spare.
const SMALL_BURST: u64 = 4 * MICROTOKENS_PER_REQUEST;
const SMALL_RATE: u64 = 8 * MICROTOKENS_PER_REQUEST;

/// The limit on tokens per second where a home host pools the base shares. A loan of units below it
/// costs more messages than it moves tokens.
const SMALL_POOLED_RATE: u64 = 64 * MICROTOKENS_PER_REQUEST;

/// Microtokens requested in addition, because each of two lenders rounds down.
const ROUNDING_ALLOWANCE: u64 = 2 * MICROTOKENS_PER_MILLITOKEN;

/// Time after the last shortage of tokens for which the home host goes on borrowing.
const SHORTAGE_RETENTION: Duration = Duration::from_secs(30);

/// Fraction of a base share, as a divisor, that a host does not lend to the home host if it can
/// hold several tokens. Other hosts can borrow these tokens when the home host has failed.
const HOME_RESERVE_DIVISOR: u64 = 2;

/// Requests per second below which a host counts as idle.
const MIN_DEMAND: f64 = 0.01;

value_type! {
    /// What a loan is for, which sets its duration.
    #[derive(Copy, Hash)]
    pub(crate) enum LoanKind {
        /// Sustained demand; renewed before it expires.
        Lasting,
        /// A single request.
        Brief,
    }
}

/// This host's share of a customer's rate.
pub(super) struct RateHolding {
    pub(super) ledger: EscrowLedger,
    pub(super) demand: DemandMeter,
    bucket: TokenBucket,
    /// Whether a home host pools the base shares of small customers.
    pub(super) is_pooled: bool,
    /// When a token was last lacking, here or at a host that asked for one.
    last_shortage_at: Option<Instant>,
    /// Tokens lent. Their capacity is withheld until they can no longer be used elsewhere.
    tokens_lent: TokenLoans,
    /// Borrowed tokens that exceed the capacity of the share.
    tokens_borrowed: TokenLoans,
}

/// This host's share of an endpoint's connections.
#[derive(Default)]
pub(super) struct ConnectionHolding {
    pub(super) ledger: EscrowLedger,
    pub(super) total: u32,
    /// Connections in use on this host.
    pub(super) in_use: u64,
    pub(super) peak: PeakMeter,
}

impl RateHolding {
    pub(super) fn new(now: Instant, rate: CustomerRate) -> Self {
        let bucket = TokenBucket::new(now, rate);
        let (tokens_lent, tokens_borrowed) = (TokenLoans::default(), TokenLoans::default());
        let (ledger, demand) = (EscrowLedger::default(), DemandMeter::default());
        Self {
            ledger,
            demand,
            bucket,
            is_pooled: false,
            last_shortage_at: None,
            tokens_lent,
            tokens_borrowed,
        }
    }

    /// Adds tokens up to `now` for the units held throughout the time since the last settlement,
    /// and returns the units held now.
    pub(super) fn settle(&mut self, now: Instant, base: u64) -> u64 {
        let since = self.bucket.settled_at();
        let throughout = self.ledger.held_throughout(since, now, base);
        self.bucket.settle(now, throughout);
        // Tokens lent at `since` left no room for new ones until they expired, which may have
        // happened only now.
        self.bucket
            .limit(self.bucket.capacity(throughout).saturating_sub(self.tokens_lent.sum(since)));
        self.ledger.prune(now);
        self.tokens_lent.prune(self.bucket.settled_at());
        self.tokens_borrowed.prune(now);
        self.ledger.held(now, base)
    }

    pub(super) fn clamp(&mut self, now: Instant, base: u64) {
        let held = self.ledger.held(now, base);
        self.bucket.limit(self.bucket.capacity(held).saturating_sub(self.tokens_lent.sum(now)));
    }

    /// Units lent, including those whose capacity is withheld for tokens lent.
    pub(super) fn units_lent(&self, now: Instant) -> u64 {
        self.ledger.lent(now) + self.withheld(now)
    }

    fn withheld(&self, now: Instant) -> u64 {
        let burst = u64::from(self.bucket.rate().burst).max(1);
        self.tokens_lent.sum(now).div_ceil(burst)
    }

    /// Whether nothing is lent or borrowed.
    pub(super) fn is_idle(&self) -> bool {
        self.ledger.is_empty() && self.tokens_lent.is_empty() && self.tokens_borrowed.is_empty()
    }

    /// Lends tokens until the loan expires, at most as many as its units can hold. Until then the
    /// lender withholds their capacity but keeps its rate, so that no token is in two buckets and
    /// the loan has no other cost for the lender.
    pub(super) fn lend_tokens(
        &mut self,
        now: Instant,
        (base, lends_borrowed): (u64, bool),
        term: &LoanEntry,
    ) -> u64 {
        self.settle(now, base);
        self.last_shortage_at = Some(now);
        // Borrowed units count if they stay valid at least as long as the loan.
        let borrowed = if lends_borrowed { self.ledger.borrowed(term.expires_at) } else { 0 };
        let lasting = base + borrowed;
        let free = self.bucket.capacity(lasting.saturating_sub(self.ledger.lent(now)));
        let free = free.saturating_sub(self.tokens_lent.sum(now));
        let millitokens = self
            .bucket
            .withdraw(self.bucket.capacity(term.units).min(free) / MICROTOKENS_PER_MILLITOKEN);
        self.tokens_lent.add(term.expires_at, millitokens * MICROTOKENS_PER_MILLITOKEN);
        self.clamp(now, base);
        millitokens
    }

    /// Accepts tokens lent until an instant. Those that fit into the capacity of the share do not
    /// expire.
    pub(super) fn accept_tokens(
        &mut self,
        now: Instant,
        base: u64,
        (expires_at, millitokens): (Instant, u64),
    ) {
        let held = self.settle(now, base);
        let before = self.bucket.tokens();
        self.bucket.deposit(millitokens, held);
        self.clamp(now, base);
        let kept = self.bucket.tokens().saturating_sub(before);
        self.tokens_borrowed
            .add(expires_at, (millitokens * MICROTOKENS_PER_MILLITOKEN).saturating_sub(kept));
    }

    /// Units whose capacity holds the tokens that a number of waiting requests lack.
    pub(super) fn missing_units(&mut self, now: Instant, base: u64, requests: u64) -> u64 {
        self.settle(now, base);
        let burst = u64::from(self.bucket.rate().burst).max(1);
        let available = self.bucket.tokens() + self.tokens_borrowed.sum(now);
        let missing = (requests * MICROTOKENS_PER_REQUEST).saturating_sub(available);
        let allowance = if missing > 0 { ROUNDING_ALLOWANCE } else { 0 };
        (missing + allowance).div_ceil(burst).min(RATE_UNITS)
    }

    /// Whether a loan has all the tokens that were requested, as units.
    pub(super) fn is_full_loan(&self, millitokens: u64, units: u64) -> bool {
        millitokens >= self.bucket.capacity(units) / MICROTOKENS_PER_MILLITOKEN
    }

    /// Whether the base share is too small for loans of units.
    pub(super) fn is_small(&self, base: u64) -> bool {
        let per_s = u64::from(self.bucket.rate().rate_per_s) * base;
        let limit = if self.is_pooled { SMALL_POOLED_RATE } else { SMALL_RATE };
        self.bucket.capacity(base) < SMALL_BURST || per_s < limit
    }

    /// Whether a token was lacking recently.
    pub(super) fn had_shortage(&self, now: Instant) -> bool {
        self.last_shortage_at.is_some_and(|at| now < at + SHORTAGE_RETENTION)
    }

    /// Takes the tokens of one request, borrowed ones first.
    fn try_take(&mut self, now: Instant) -> bool {
        let borrowed = self.tokens_borrowed.sum(now).min(MICROTOKENS_PER_REQUEST);
        if borrowed == 0 {
            return self.bucket.take();
        }
        let is_taken = self.bucket.spend(MICROTOKENS_PER_REQUEST - borrowed);
        if is_taken {
            self.tokens_borrowed.spend(borrowed);
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
        if ahead == 0 && self.try_take(now) {
            return Ok(());
        }
        self.last_shortage_at = Some(now);
        Err(self.bucket.ready_at(held, ahead + 1))
    }

    pub(super) fn accept(
        &mut self,
        now: Instant,
        base: u64,
        (loan, millitokens): (LoanEntry, u64),
    ) {
        self.settle(now, base);
        self.ledger.record_borrowed(loan);
        self.bucket.deposit(millitokens, self.ledger.held(now, base));
        self.clamp(now, base);
    }

    /// Lends units of the base share and returns the units and millitokens of the loan, including
    /// the units that the borrower already has. A loan carries no more tokens than the additional
    /// units can hold.
    pub(super) fn lend(&mut self, now: Instant, base: u64, wanted: LoanEntry) -> (u64, u64) {
        let held = self.settle(now, base);
        // A small share is lent to the customer's home host, which lends the tokens back.
        let needed = match self.is_pooled && self.is_small(base) {
            true if self.bucket.capacity(base) < SMALL_BURST => 0,
            true => base / HOME_RESERVE_DIVISOR,
            false => self.units_for(self.demand.sustained_rate(now)).max(self.reserve(base)),
        };
        let free = base.saturating_sub(self.withheld(now));
        let units = lendable(&self.ledger, now, (free, needed), &wanted);
        if units == 0 {
            return (0, 0);
        }
        let added = units.saturating_sub(self.ledger.lent_to(now, &wanted.peer));
        let capacity = self.bucket.capacity(added);
        let tokens = match self.demand.rate(now) < 1.0 {
            true => capacity.min(self.bucket.tokens()),
            false => proportion(self.bucket.tokens(), added, held).min(capacity),
        };
        let millitokens = self.bucket.withdraw(tokens / MICROTOKENS_PER_MILLITOKEN);
        self.ledger.record_lent(LoanEntry { units, ..wanted });
        self.clamp(now, base);
        (units, millitokens)
    }

    /// Units that are never lent. A base share that cannot hold the tokens of one request can serve
    /// none by itself, so all of it may be lent.
    fn reserve(&self, base: u64) -> u64 {
        match self.bucket.capacity(base) < MICROTOKENS_PER_REQUEST {
            true => 0,
            false => base / RESERVE_DIVISOR,
        }
    }

    /// Units and millitokens of the whole base share, without units lent. The holding must be
    /// settled.
    pub(super) fn hand_over(&mut self, now: Instant, base: u64) -> (u64, u64) {
        let units = base.saturating_sub(self.units_lent(now));
        let tokens = self.bucket.capacity(units).min(self.bucket.tokens());
        (units, self.bucket.withdraw(tokens / MICROTOKENS_PER_MILLITOKEN))
    }

    /// Units for a demand in requests per second, with headroom.
    fn units_for(&self, per_s: f64) -> u64 {
        let rate = f64::from(self.bucket.rate().rate_per_s.max(1));
        let units = per_s / rate * RATE_UNITS as f64 * TARGET_PERCENT as f64 / 100.0;
        (units as u64).min(RATE_UNITS)
    }

    /// Units whose capacity holds the tokens of one request.
    fn request_units(&self) -> u64 {
        let burst = u64::from(self.bucket.rate().burst).max(1);
        (MICROTOKENS_PER_REQUEST * REQUEST_CAPACITY_PERCENT / 100).div_ceil(burst).min(RATE_UNITS)
    }

    /// Units to borrow for the recent demand, counting as held only what is valid until `horizon`,
    /// and the kind of loan.
    ///
    /// A request that waits although the share covers the demand needs units only to hold its
    /// tokens. These are borrowed for a short time, so that other hosts can use them for their next
    /// request.
    pub(super) fn shortage(
        &mut self,
        now: Instant,
        horizon: Instant,
        (base, is_waiting): (u64, bool),
    ) -> (u64, LoanKind) {
        let demand = self.demand.sustained_rate(now);
        if demand < MIN_DEMAND && !is_waiting {
            return (0, LoanKind::Lasting);
        }
        let held_now = self.settle(now, base);
        let held = self.ledger.held(horizon, base).min(held_now);
        let demanded = self.units_for(demand) * 100 / TARGET_PERCENT;
        let capacity = self.bucket.capacity(held_now);
        let is_low = self.bucket.tokens() < capacity * (100 - BORROW_THRESHOLD_PERCENT) / 100;
        let target = self.units_for(demand.max(self.demand.short_term_rate(now)));
        let lasting = match () {
            _ if self.is_small(base) => 0,
            _ if is_waiting => target,
            _ if is_low && demanded > held / 2 => target.max(held + held / 2),
            _ if demanded > held * BORROW_THRESHOLD_PERCENT / 100 => self.units_for(demand),
            _ => 0,
        };
        let brief = self.request_units().max(held_now + held_now / 2).min(RATE_UNITS);
        match is_waiting && lasting < brief {
            true => (brief - held_now, LoanKind::Brief),
            false => (lasting.min(RATE_UNITS).saturating_sub(held), LoanKind::Lasting),
        }
    }
}

impl ConnectionHolding {
    /// Lends connections of the base share that were not wanted recently, except for half of them,
    /// rounded down. A single connection can therefore be lent; otherwise hosts without one would
    /// never get any.
    pub(super) fn lend(&mut self, now: Instant, base: u64, wanted: LoanEntry) -> u64 {
        self.ledger.prune(now);
        let needed = self.peak.peak().max(self.in_use).max(base / 2);
        let units = lendable(&self.ledger, now, (base, needed), &wanted);
        if units > 0 {
            self.ledger.record_lent(LoanEntry { units, ..wanted });
        }
        units
    }
}

/// Units that can be lent to a borrower in total: those it has already, and those neither needed
/// here nor lent to others. A loan is not renewed in full when the lender needs the units itself.
fn lendable(
    ledger: &EscrowLedger,
    now: Instant,
    (base, needed): (u64, u64),
    wanted: &LoanEntry,
) -> u64 {
    let lent_to_borrower = ledger.lent_to(now, &wanted.peer);
    let lent_to_others = ledger.lent(now) - lent_to_borrower;
    let total = (base + ledger.borrowed(now)).saturating_sub(lent_to_others + needed);
    wanted.units.min(total).min(base.saturating_sub(lent_to_others))
}

fn proportion(amount: u64, part: u64, whole: u64) -> u64 {
    let share = u128::from(amount) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(share).unwrap_or(u64::MAX)
}

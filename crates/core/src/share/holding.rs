//! What this host holds of one customer's rate, and of one endpoint's connections.

use std::time::{Duration, Instant};

use super::demand::{DemandMeter, PeakMeter};
use super::escrow::EscrowLedger;
use crate::limit::{CustomerRate, MILLITOKEN, RATE_UNITS, REQUEST_TOKENS, TokenBucket};

/// Part of the use of what is held, in percent, above which more is borrowed.
const BORROW_PERCENT: u64 = 70;

/// Held units for each unit of recent demand, in percent, that a borrower aims at.
const DEMAND_PERCENT: u64 = 150;

/// The same that a lender keeps. With the borrower's figure nothing could be lent once a customer
/// uses more than two thirds of its rate.
const KEEP_PERCENT: u64 = 110;

/// Part of the base share, as a divisor, that is never lent.
const FLOOR_DIVISOR: u64 = 8;

/// Requests that a share in use should be able to hold the tokens of.
const LEAST_REQUESTS: u64 = 2;

/// Requests whose tokens a base share must be able to hold to be kept by its owner. The tokens of a
/// smaller one are lent to whoever has a request waiting, because shares that each hold one or two
/// tokens refuse many requests while others of the fleet are idle.
const SMALL_REQUESTS: u64 = 4;

/// Time of a loan from a small share. The borrower uses the tokens at once, and the lender needs the
/// units back to collect new ones.
const SMALL_LOAN: Duration = Duration::from_secs(1);

/// What a borrower asks for, in percent of what it lacks, because hosts that are asked have little.
const SMALL_ASK_PERCENT: u64 = 200;

/// Share of a customer's rate.
pub(super) struct RateHolding {
    pub(super) ledger: EscrowLedger,
    pub(super) demand: DemandMeter,
    bucket: TokenBucket,
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
        Self { ledger: EscrowLedger::default(), demand: DemandMeter::default(), bucket }
    }

    /// Adds tokens up to now for the units that were held all the time, and returns the units held.
    pub(super) fn settle(&mut self, now: Instant, base: u64) -> u64 {
        let throughout = self.ledger.held_throughout(self.bucket.settled_at(), now, base);
        self.bucket.settle(now, throughout);
        self.ledger.prune(now);
        self.ledger.held(now, base)
    }

    pub(super) fn clamp(&mut self, now: Instant, base: u64) {
        let held = self.ledger.held(now, base);
        self.bucket.clamp(held);
    }

    pub(super) fn change_rate(&mut self, now: Instant, base: u64, rate: CustomerRate) {
        if rate != self.bucket.rate() {
            let held = self.settle(now, base);
            self.bucket.change_rate(rate, held);
        }
    }

    pub(super) fn take_token(
        &mut self,
        now: Instant,
        base: u64,
        ahead: u64,
    ) -> Result<(), Option<Instant>> {
        let held = self.settle(now, base);
        match ahead == 0 && self.bucket.take() {
            true => Ok(()),
            false => Err(self.bucket.ready_at(held, ahead + 1)),
        }
    }

    pub(super) fn accept(
        &mut self,
        now: Instant,
        base: u64,
        (units, millitokens): (u64, u64),
        until: Instant,
    ) {
        self.settle(now, base);
        self.ledger.take(units, until);
        self.bucket.deposit(millitokens, self.ledger.held(now, base));
    }

    /// Units and millitokens lent; a loan carries no more tokens than its units can hold.
    pub(super) fn lend(
        &mut self,
        now: Instant,
        base: u64,
        wanted: u64,
        until: Instant,
    ) -> (u64, u64) {
        let held = self.settle(now, base);
        if self.is_small(base) {
            return self.lend_tokens(now, base, wanted, until);
        }
        let needed = self.needed(now, KEEP_PERCENT).max(base / FLOOR_DIVISOR);
        let own = base.saturating_sub(self.ledger.given(now));
        let units = wanted.min(held.saturating_sub(needed)).min(own);
        if units == 0 {
            return (0, 0);
        }
        let capacity = self.bucket.capacity(units);
        let tokens = match self.demand.rate(now) < 1.0 {
            true => capacity.min(self.bucket.tokens()),
            false => proportion(self.bucket.tokens(), units, held).min(capacity),
        };
        let millitokens = self.bucket.withdraw(tokens / MILLITOKEN);
        self.ledger.give(units, until);
        self.clamp(now, base);
        (units, millitokens)
    }

    /// Whether a base share holds the tokens of only a few requests.
    pub(super) fn is_small(&self, base: u64) -> bool {
        self.bucket.capacity(base) < SMALL_REQUESTS * REQUEST_TOKENS
    }

    /// Time for which units are lent.
    pub(super) fn loan_time(&self, base: u64, usual: Duration) -> Duration {
        if self.is_small(base) { usual.min(SMALL_LOAN) } else { usual }
    }

    /// Lends tokens of a small share with the units that hold them; called on a settled holding.
    fn lend_tokens(&mut self, now: Instant, base: u64, wanted: u64, until: Instant) -> (u64, u64) {
        let own = base.saturating_sub(self.ledger.given(now) + base / FLOOR_DIVISOR);
        let burst = u64::from(self.bucket.rate().burst).max(1);
        let units = wanted.min(own).min(self.bucket.tokens() / burst);
        let millitokens = self.bucket.withdraw(self.bucket.capacity(units) / MILLITOKEN);
        if millitokens == 0 {
            return (0, 0);
        }
        self.ledger.give(units, until);
        self.clamp(now, base);
        (units, millitokens)
    }

    /// Units whose tokens a waiting request lacks, with a margin for hosts that have few.
    pub(super) fn token_shortage(&mut self, now: Instant, base: u64) -> u64 {
        let held = self.settle(now, base);
        let burst = u64::from(self.bucket.rate().burst).max(1);
        let missing = REQUEST_TOKENS.saturating_sub(self.bucket.tokens()).div_ceil(burst);
        let unheld = REQUEST_TOKENS.div_ceil(burst).saturating_sub(held);
        missing.max(unheld) * SMALL_ASK_PERCENT / 100
    }

    /// Units and millitokens of the whole base share; called on a settled holding.
    pub(super) fn hand_over(&mut self, now: Instant, base: u64) -> (u64, u64) {
        let units = base.saturating_sub(self.ledger.given(now));
        let tokens = self.bucket.capacity(units).min(self.bucket.tokens());
        (units, self.bucket.withdraw(tokens / MILLITOKEN))
    }

    /// Units for a percentage of the recent demand; none without demand.
    fn needed(&self, now: Instant, percent: u64) -> u64 {
        let rate = u64::from(self.bucket.rate().rate_per_s).max(1);
        let demand = self.demand.rate(now);
        if demand < 0.01 {
            return 0;
        }
        let units = (demand * RATE_UNITS as f64) as u64 / rate * percent / 100;
        units.max(self.least_units()).min(RATE_UNITS)
    }

    /// Units whose capacity holds the tokens of a few requests.
    fn least_units(&self) -> u64 {
        let burst = u64::from(self.bucket.rate().burst).max(1);
        (LEAST_REQUESTS * REQUEST_TOKENS).div_ceil(burst).min(RATE_UNITS)
    }

    /// Units missing for the recent demand by an instant.
    pub(super) fn shortage(&mut self, now: Instant, then: Instant, base: u64) -> u64 {
        if self.demand.rate(now) < 0.01 || self.is_small(base) {
            return 0;
        }
        let held_now = self.settle(now, base);
        let held = self.ledger.held(then, base).min(held_now);
        let used = (self.demand.rate(now) * RATE_UNITS as f64) as u64
            / u64::from(self.bucket.rate().rate_per_s).max(1);
        let is_low =
            self.bucket.tokens() < self.bucket.capacity(held_now) * (100 - BORROW_PERCENT) / 100;
        let wanted = match () {
            _ if used > held * BORROW_PERCENT / 100 => self.needed(now, DEMAND_PERCENT),
            _ if is_low => self.needed(now, DEMAND_PERCENT).max(held + held / 2),
            _ => self.least_units(),
        };
        wanted.min(RATE_UNITS).saturating_sub(held)
    }
}

impl ConnectionHolding {
    /// Connections lent: those of the base share that were not wanted lately, less a part that is
    /// kept. A single connection is lent whole, or hosts without one would never get any.
    pub(super) fn lend(&mut self, now: Instant, base: u64, wanted: u64, until: Instant) -> u64 {
        self.ledger.prune(now);
        let needed = self.peak.peak().max(self.in_use).max(base / 2);
        let own = base.saturating_sub(self.ledger.given(now));
        let units = wanted.min(self.ledger.held(now, base).saturating_sub(needed)).min(own);
        if units > 0 {
            self.ledger.give(units, until);
        }
        units
    }
}

fn proportion(amount: u64, part: u64, whole: u64) -> u64 {
    let share = u128::from(amount) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(share).unwrap_or(u64::MAX)
}

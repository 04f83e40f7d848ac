//! Rate limits of customers, from the shares held by this host.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use tanagerdeal_wire::{CustomerName, value_type};

use crate::message::SessionKey;

/// Units of a whole rate or burst.
pub const RATE_UNITS: u64 = 1_000_000;

/// Microtokens of one request.
pub(crate) const REQUEST_TOKENS: u64 = 1_000_000;

/// Microtokens of one millitoken, the unit in which tokens travel between hosts.
pub(crate) const MILLITOKEN: u64 = 1_000;

/// Requests that wait for a token, by customer in order of arrival.
#[derive(Default)]
pub struct LimitTable {
    waiting: HashMap<CustomerName, VecDeque<SessionKey>>,
}

value_type! {
    /// Rate and burst of a customer over all hosts.
    #[derive(Copy, Default)]
    pub struct CustomerRate {
        /// Requests a second.
        pub rate_per_s: u32,
        /// Requests that may come at once.
        pub burst: u32,
    }

    /// A token bucket whose rate and capacity are a share of a customer's.
    ///
    /// Tokens are counted in millionths of a request. A share of `u` millionths of a rate of `r`
    /// requests a second adds `r * u` microtokens a second, and a burst of `b` requests gives it a
    /// capacity of `b * u` microtokens, so nothing is rounded up.
    pub(crate) struct TokenBucket {
        rate: CustomerRate,
        tokens: u64,
        settled_at: Instant,
    }
}

impl LimitTable {
    /// Adds a request that waits for a token.
    pub(crate) fn wait(&mut self, customer: &CustomerName, session: SessionKey) {
        self.waiting.entry(customer.clone()).or_default().push_back(session);
    }

    /// Requests that wait for a token of a customer.
    pub(crate) fn waiting(&self, customer: &CustomerName) -> usize {
        self.waiting.get(customer).map_or(0, VecDeque::len)
    }

    /// Customers with waiting requests.
    pub(crate) fn customers(&self) -> Vec<CustomerName> {
        self.waiting.keys().cloned().collect()
    }

    /// The request of a customer that has waited longest.
    pub(crate) fn first(&self, customer: &CustomerName) -> Option<SessionKey> {
        self.waiting.get(customer)?.front().copied()
    }

    /// Requests of a customer that wait, first come first.
    pub(crate) fn sessions(&self, customer: &CustomerName) -> Vec<SessionKey> {
        self.waiting.get(customer).map(|line| line.iter().copied().collect()).unwrap_or_default()
    }

    /// Takes a request out of the line.
    pub(crate) fn remove(&mut self, customer: &CustomerName, session: SessionKey) {
        let Some(line) = self.waiting.get_mut(customer) else { return };
        line.retain(|waiting| *waiting != session);
        if line.is_empty() {
            self.waiting.remove(customer);
        }
    }
}

impl TokenBucket {
    /// A bucket without tokens.
    pub(crate) fn new(now: Instant, rate: CustomerRate) -> Self {
        Self { rate, tokens: 0, settled_at: now }
    }

    /// Rate and burst in effect.
    pub(crate) fn rate(&self) -> CustomerRate {
        self.rate
    }

    /// Tokens as of the last settlement.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// When tokens were added last.
    pub(crate) fn settled_at(&self) -> Instant {
        self.settled_at
    }

    /// Adds the tokens since the last settlement; `units` must have been held all that time.
    pub(crate) fn settle(&mut self, now: Instant, units: u64) {
        let passed = now.saturating_duration_since(self.settled_at).as_micros();
        let second = Duration::from_secs(1).as_micros();
        let speed = u128::from(self.rate.rate_per_s) * u128::from(units);
        let added = u64::try_from(speed * passed / second).unwrap_or(u64::MAX);
        self.tokens = self.tokens.saturating_add(added);
        // The part of a microsecond that was not counted stays for the next settlement.
        let counted = u64::try_from(passed).unwrap_or(u64::MAX);
        self.settled_at += Duration::from_micros(counted);
        self.clamp(units);
    }

    /// Cuts the tokens to the capacity of a share.
    pub(crate) fn clamp(&mut self, units: u64) {
        self.tokens = self.tokens.min(self.capacity(units));
    }

    /// Takes over a changed rate and burst; must be called on a settled bucket.
    pub(crate) fn change_rate(&mut self, rate: CustomerRate, units: u64) {
        self.rate = rate;
        self.clamp(units);
    }

    /// Capacity of a share in microtokens.
    pub(crate) fn capacity(&self, units: u64) -> u64 {
        u64::from(self.rate.burst) * units
    }

    /// Cuts the tokens to a number of microtokens.
    pub(crate) fn limit(&mut self, most: u64) {
        self.tokens = self.tokens.min(most);
    }

    /// Takes the tokens of one request.
    pub(crate) fn take(&mut self) -> bool {
        self.spend(REQUEST_TOKENS)
    }

    /// Takes microtokens, if there are as many.
    pub(crate) fn spend(&mut self, microtokens: u64) -> bool {
        let left = self.tokens.checked_sub(microtokens);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some()
    }

    /// Takes tokens for a loan, at most as many as there are.
    pub(crate) fn withdraw(&mut self, millitokens: u64) -> u64 {
        let millitokens = millitokens.min(self.tokens / MILLITOKEN);
        self.tokens -= millitokens * MILLITOKEN;
        millitokens
    }

    /// Adds the tokens of a loan, at most up to the capacity.
    pub(crate) fn deposit(&mut self, millitokens: u64, units: u64) {
        self.tokens = self.tokens.saturating_add(millitokens.saturating_mul(MILLITOKEN));
        self.clamp(units);
    }

    /// Gives a bucket that has just been created some microtokens.
    pub(crate) fn start_with(&mut self, microtokens: u64, units: u64) {
        self.tokens = microtokens;
        self.clamp(units);
    }

    /// When that many requests have had their tokens, as of the last settlement; never for a share
    /// that is too small to hold the tokens of one request.
    pub(crate) fn ready_at(&self, units: u64, requests: u64) -> Option<Instant> {
        let speed = u64::from(self.rate.rate_per_s) * units;
        let missing = (requests * REQUEST_TOKENS).saturating_sub(self.tokens);
        match (missing, speed) {
            (0, _) => Some(self.settled_at),
            (_, 0) => None,
            _ if self.capacity(units) < REQUEST_TOKENS => None,
            _ => {
                let micros = u128::from(missing) * 1_000_000 / u128::from(speed) + 1;
                let micros = u64::try_from(micros).unwrap_or(u64::MAX);
                self.settled_at.checked_add(Duration::from_micros(micros))
            }
        }
    }
}

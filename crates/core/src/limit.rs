//! Token buckets for customers' rate limits, and the requests that wait for a token.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use tanagerdeal_wire::{CustomerName, value_type};

use crate::message::SessionKey;

/// Units of a whole rate or burst; a share is a number of these units.
pub const RATE_UNITS: u64 = 1_000_000;

/// Microtokens that one request takes.
pub(crate) const MICROTOKENS_PER_REQUEST: u64 = 1_000_000;

/// Microtokens in a millitoken, the unit in which hosts lend tokens to each other.
pub(crate) const MICROTOKENS_PER_MILLITOKEN: u64 = 1_000;

/// Requests that wait for a token, by customer and in order of arrival.
#[derive(Default)]
pub struct LimitTable {
    waiting: HashMap<CustomerName, VecDeque<SessionKey>>,
}

value_type! {
    /// Rate and burst of a customer over all hosts.
    #[derive(Copy, Default)]
    pub struct CustomerRate {
        /// Requests per second.
        pub rate_per_s: u32,
        /// Requests that may arrive at once.
        pub burst: u32,
    }

    /// A token bucket whose rate and capacity are a share of a customer's.
    ///
    /// Tokens are counted in millionths of a request. A share of `u` millionths of a rate of `r`
    /// requests per second adds `r * u` microtokens per second, and a burst of `b` requests gives
    /// it a capacity of `b * u` microtokens, so nothing is rounded up.
    pub(crate) struct TokenBucket {
        rate: CustomerRate,
        tokens: u64,
        settled_at: Instant,
    }
}

impl LimitTable {
    /// Appends a request to its customer's queue.
    pub(crate) fn wait(&mut self, customer: &CustomerName, session: SessionKey) {
        self.waiting.entry(customer.clone()).or_default().push_back(session);
    }

    /// Number of requests of a customer that wait for a token.
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

    /// Waiting requests of a customer, in order of arrival.
    pub(crate) fn sessions(&self, customer: &CustomerName) -> Vec<SessionKey> {
        self.waiting.get(customer).map(|queue| queue.iter().copied().collect()).unwrap_or_default()
    }

    /// Removes a request from its customer's queue.
    pub(crate) fn remove(&mut self, customer: &CustomerName, session: SessionKey) {
        let Some(queue) = self.waiting.get_mut(customer) else { return };
        queue.retain(|waiting| *waiting != session);
        if queue.is_empty() {
            self.waiting.remove(customer);
        }
    }
}

impl TokenBucket {
    /// An empty bucket.
    pub(crate) fn new(now: Instant, rate: CustomerRate) -> Self {
        Self { rate, tokens: 0, settled_at: now }
    }

    pub(crate) fn rate(&self) -> CustomerRate {
        self.rate
    }

    /// Microtokens as of the last settlement.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// When tokens were last added.
    pub(crate) fn settled_at(&self) -> Instant {
        self.settled_at
    }

    /// Adds the tokens for the time since the last settlement. `units` must have been held
    /// throughout that time.
    pub(crate) fn settle(&mut self, now: Instant, units: u64) {
        let elapsed_us = now.saturating_duration_since(self.settled_at).as_micros();
        let second_us = Duration::from_secs(1).as_micros();
        let fill_rate = u128::from(self.rate.rate_per_s) * u128::from(units);
        let added = u64::try_from(fill_rate * elapsed_us / second_us).unwrap_or(u64::MAX);
        self.tokens = self.tokens.saturating_add(added);
        // The fraction of a microsecond that was not counted is left for the next settlement.
        let counted_us = u64::try_from(elapsed_us).unwrap_or(u64::MAX);
        self.settled_at += Duration::from_micros(counted_us);
        self.clamp(units);
    }

    /// Limits the tokens to the capacity of a share.
    pub(crate) fn clamp(&mut self, units: u64) {
        self.tokens = self.tokens.min(self.capacity(units));
    }

    /// Changes rate and burst. The bucket must be settled.
    pub(crate) fn change_rate(&mut self, rate: CustomerRate, units: u64) {
        self.rate = rate;
        self.clamp(units);
    }

    /// Capacity of a share in microtokens.
    pub(crate) fn capacity(&self, units: u64) -> u64 {
        u64::from(self.rate.burst) * units
    }

    /// Limits the tokens to a number of microtokens.
    pub(crate) fn limit(&mut self, max_tokens: u64) {
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Takes the tokens of one request, if there are enough.
    pub(crate) fn take(&mut self) -> bool {
        self.spend(MICROTOKENS_PER_REQUEST)
    }

    /// Takes microtokens, if there are enough.
    pub(crate) fn spend(&mut self, microtokens: u64) -> bool {
        let left = self.tokens.checked_sub(microtokens);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some()
    }

    /// Takes up to `millitokens` for a loan and returns how many were taken.
    pub(crate) fn withdraw(&mut self, millitokens: u64) -> u64 {
        let millitokens = millitokens.min(self.tokens / MICROTOKENS_PER_MILLITOKEN);
        self.tokens -= millitokens * MICROTOKENS_PER_MILLITOKEN;
        millitokens
    }

    /// Adds the tokens of a loan, up to the capacity.
    pub(crate) fn deposit(&mut self, millitokens: u64, units: u64) {
        self.tokens =
            self.tokens.saturating_add(millitokens.saturating_mul(MICROTOKENS_PER_MILLITOKEN));
        self.clamp(units);
    }

    /// Sets the initial microtokens of a new bucket, up to the capacity.
    pub(crate) fn start_with(&mut self, microtokens: u64, units: u64) {
        self.tokens = microtokens;
        self.clamp(units);
    }

    /// When the bucket has tokens for that many requests, as of the last settlement; `None` if the
    /// share is too small to ever hold the tokens of one request.
    pub(crate) fn ready_at(&self, units: u64, requests: u64) -> Option<Instant> {
        let fill_rate = u64::from(self.rate.rate_per_s) * units;
        let missing = (requests * MICROTOKENS_PER_REQUEST).saturating_sub(self.tokens);
        match (missing, fill_rate) {
            (0, _) => Some(self.settled_at),
            (_, 0) => None,
            _ if self.capacity(units) < MICROTOKENS_PER_REQUEST => None,
            _ => {
                let wait_us = u128::from(missing) * 1_000_000 / u128::from(fill_rate) + 1;
                let wait_us = u64::try_from(wait_us).unwrap_or(u64::MAX);
                self.settled_at.checked_add(Duration::from_micros(wait_us))
            }
        }
    }
}

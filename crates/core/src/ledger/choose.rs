//! Selection of the endpoint for a read.

use std::collections::HashMap;
use std::time::Duration;

use super::clock::BootInstant;
use super::endpoint::{EndpointKey, EndpointState, EndpointTable, LoadHint, LogPosition};

/// Default price of another failure domain, as latency: traffic between domains is expensive.
pub const REMOTE_PRICE: Duration = Duration::from_millis(30);
/// Cost of the primary, as microseconds of latency: no other endpoint can take the writes. With a
/// hint it is that of a primary whose slots are all taken, and grows with its load.
const PRIMARY_COST_US: f64 = 25_000.0;
/// Difference in the cost without the wait, in microseconds, up to which endpoints share the reads
/// of a host.
const SHARE_MARGIN_US: f64 = 20_000.0;
/// Difference in the expected completion, in microseconds, from which on all reads that consider
/// another endpoint go there, with fresh hints.
const SPILL_RANGE_US: f64 = 30_000.0;
/// Growth of this difference with the age of a hint. Hosts see the effect of the reads that they
/// move only after that time, so moving more would make the load swing between the endpoints.
const SPILL_RANGE_PER_AGE: f64 = 0.4;
/// Cost of an endpoint that was full a moment ago, as microseconds of latency.
const BUSY_COST_US: f64 = 60_000.0;
/// Cost of a replica that is behind the minimum position, as microseconds of latency: most reads
/// there fail.
const LAGGING_COST_US: f64 = 150_000.0;
/// Cost of an endpoint whose last call got no reply, as microseconds of latency.
const FAILING_COST_US: f64 = 1_000_000.0;
/// Latency assumed before the first reply, in microseconds.
const UNKNOWN_LATENCY_US: f64 = 20_000.0;

/// Requirements of a read on its endpoint.
pub struct ReadChoice<'a> {
    /// Group to read from.
    pub group: &'a str,
    /// Identity of the group's primary, if it may be used.
    pub primary: Option<&'a str>,
    /// Log position that a replica must have applied. Without one only the primary can serve the
    /// read.
    pub min_position: Option<LogPosition>,
    /// Failure domain of this host.
    pub domain: &'a str,
    /// Price of another failure domain, as latency.
    pub remote_price: Duration,
    /// Evacuated failure domains, and when this host learned of it.
    pub evacuated: &'a HashMap<String, BootInstant>,
    /// Endpoints that were already tried.
    pub tried: &'a [EndpointKey],
    /// Time of the choice.
    pub now: BootInstant,
    /// A random number from 0 (included) to 1 (excluded).
    pub draw: f64,
}

/// An endpoint that can serve the read.
struct ReadCandidate {
    key: EndpointKey,
    /// Cost without the wait.
    base_us: f64,
    /// Expected wait.
    wait_us: f64,
    /// Reads that it serves in a second.
    rate_per_s: f64,
    /// Age of its hint; `None` without a hint.
    hint_age: Option<Duration>,
}

impl ReadCandidate {
    fn cost_us(&self) -> f64 {
        self.base_us + self.wait_us
    }
}

impl ReadChoice<'_> {
    /// The usable endpoint with the earliest expected completion. With hints, reads are spread by
    /// how many each endpoint serves, and only a part of them leaves an endpoint with a wait, so
    /// that not all hosts choose the same one.
    ///
    /// ```
    /// use std::collections::HashMap;
    ///
    /// use tanagerdeal_core::ledger::choose::{REMOTE_PRICE, ReadChoice};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    /// use tanagerdeal_core::ledger::endpoint::{EndpointTable, LogPosition};
    ///
    /// let choice = ReadChoice {
    ///     group: "g1",
    ///     primary: None,
    ///     min_position: Some(LogPosition::default()),
    ///     domain: "d1",
    ///     remote_price: REMOTE_PRICE,
    ///     evacuated: &HashMap::new(),
    ///     tried: &[],
    ///     now: BootInstant::from_micros(0),
    ///     draw: 0.5,
    /// };
    /// assert!(choice.best(&EndpointTable::default()).is_none());
    /// ```
    pub fn best(&self, table: &EndpointTable) -> Option<EndpointKey> {
        let candidates: Vec<ReadCandidate> = table
            .of_group(self.group)
            .filter(|(key, state)| !self.tried.contains(key) && self.is_usable(state))
            .map(|(key, state)| self.candidate(key, state))
            .collect();
        match candidates.iter().any(|candidate| candidate.hint_age.is_some()) {
            true => self.spread(&candidates),
            false => lowest(&candidates, ReadCandidate::cost_us),
        }
        .map(|candidate| candidate.key)
    }

    /// A candidate by the random number: one of those that cost least without the wait, or another
    /// one if that has much less to do.
    fn spread<'a>(&self, candidates: &'a [ReadCandidate]) -> Option<&'a ReadCandidate> {
        let least_us = lowest(candidates, |candidate| candidate.base_us)?.base_us;
        let share = |candidate: &ReadCandidate| {
            let distance = (candidate.base_us - least_us) / SHARE_MARGIN_US;
            candidate.rate_per_s * (1.0 - distance).max(0.0)
        };
        let (usual, rest) = draw_weighted(candidates, self.draw, share)?;
        let is_other = |candidate: &ReadCandidate| candidate.key != usual.key;
        let rate = |candidate: &ReadCandidate| match is_other(candidate) {
            true => candidate.rate_per_s,
            false => 0.0,
        };
        let other = draw_weighted(candidates, rest, rate);
        let spilled = other.filter(|(other, rest)| {
            let age = usual.hint_age.max(other.hint_age).unwrap_or_default();
            let range = SPILL_RANGE_US + SPILL_RANGE_PER_AGE * age.as_micros() as f64;
            usual.cost_us() - other.cost_us() > rest * range
        });
        spilled.map(|(other, _)| other).or(Some(usual))
    }

    fn is_primary(&self, state: &EndpointState) -> bool {
        self.primary == Some(state.record.id.as_str())
    }

    fn is_usable(&self, state: &EndpointState) -> bool {
        let is_open =
            !state.record.is_draining && !self.evacuated.contains_key(&state.record.domain);
        is_open && (self.min_position.is_some() || self.is_primary(state))
    }

    fn candidate(&self, key: EndpointKey, state: &EndpointState) -> ReadCandidate {
        let penalty = self.penalty(state);
        let Some(hint) = state.fresh_load(self.now) else {
            let latency = latency_us(state);
            let load = f64::from(state.in_flight) / f64::from(state.record.slots.max(1));
            let primary = if self.is_primary(state) { PRIMARY_COST_US } else { 0.0 };
            return ReadCandidate {
                key,
                base_us: latency * (1.0 + load) + primary + penalty,
                wait_us: 0.0,
                rate_per_s: f64::from(state.record.slots.max(1)) * 1e6 / latency,
                hint_age: None,
            };
        };
        let service = f64::from(hint.service_us.max(1));
        let primary = if self.is_primary(state) { PRIMARY_COST_US * load(hint) } else { 0.0 };
        ReadCandidate {
            key,
            base_us: service + primary + penalty,
            wait_us: f64::from(hint.expected_wait_us),
            rate_per_s: f64::from(hint.limit.max(1)) * 1e6 / service,
            hint_age: Some(self.now.since(hint.at)),
        }
    }

    /// What is added to the latency of an endpoint because of where and in which condition it is.
    fn penalty(&self, state: &EndpointState) -> f64 {
        let is_behind = !self.is_primary(state)
            && self.min_position.is_some_and(|min_position| state.position < min_position)
            && self.now < state.lagging_until;
        let penalty = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
        penalty(state.record.domain != self.domain, self.remote_price.as_micros() as f64)
            + penalty(self.now < state.busy_until, BUSY_COST_US)
            + penalty(is_behind, LAGGING_COST_US)
            + penalty(state.failing_since.is_some(), FAILING_COST_US)
    }
}

/// The candidate with the lowest cost; of equal ones the first.
fn lowest(
    candidates: &[ReadCandidate],
    cost: impl Fn(&ReadCandidate) -> f64,
) -> Option<&ReadCandidate> {
    candidates.iter().min_by(|left, right| cost(left).total_cmp(&cost(right)))
}

/// The candidate that a random number from 0 to 1 falls on, and where within its part, again from 0
/// to 1. `None` if all weights are 0.
fn draw_weighted(
    candidates: &[ReadCandidate],
    draw: f64,
    weight: impl Fn(&ReadCandidate) -> f64,
) -> Option<(&ReadCandidate, f64)> {
    let mut left = draw * candidates.iter().map(&weight).sum::<f64>();
    for candidate in candidates {
        let part = weight(candidate);
        if left < part {
            return Some((candidate, left / part));
        }
        left -= part;
    }
    None
}

/// Average latency of an endpoint as this host has seen it.
fn latency_us(state: &EndpointState) -> f64 {
    match state.latency_us {
        latency if latency > 0.0 => latency,
        _ => UNKNOWN_LATENCY_US,
    }
}

/// Statements at an endpoint and at its pool host, relative to the limit.
fn load(hint: LoadHint) -> f64 {
    f64::from(hint.running.saturating_add(hint.waiting)) / f64::from(hint.limit.max(1))
}

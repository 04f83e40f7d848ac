//! Which endpoint runs a read.

use std::collections::HashMap;

use super::clock::BootInstant;
use super::endpoint::{EndpointKey, EndpointState, EndpointTable, LogPosition};

/// Cost of another failure domain, in microseconds of waiting: bytes between them are expensive.
const REMOTE_COST_US: f64 = 30_000.0;
/// Cost of the primary, in microseconds of waiting: it is the only one that takes writes.
const PRIMARY_COST_US: f64 = 25_000.0;
/// Cost of an endpoint that was full a moment ago, in microseconds of waiting.
const BUSY_COST_US: f64 = 60_000.0;
/// Cost of an endpoint that is behind, in microseconds of waiting: most reads there fail.
const LAGGING_COST_US: f64 = 150_000.0;
/// Cost of an endpoint that did not reply last, in microseconds of waiting.
const FAILING_COST_US: f64 = 1_000_000.0;
/// Reply time assumed before any reply, in microseconds.
const UNKNOWN_LATENCY_US: f64 = 20_000.0;

/// What a read asks of an endpoint.
pub struct ReadChoice<'a> {
    /// Group of the read.
    pub group: &'a str,
    /// Identity of the group's primary, if it may be used.
    pub primary: Option<&'a str>,
    /// Position that the read has to see; without one only the primary will do.
    pub floor: Option<LogPosition>,
    /// Failure domain of this host.
    pub domain: &'a str,
    /// Failure domains that take no work, and since when.
    pub evacuated: &'a HashMap<String, BootInstant>,
    /// Endpoints that were tried already.
    pub tried: &'a [EndpointKey],
    /// Now.
    pub now: BootInstant,
}

impl ReadChoice<'_> {
    /// The endpoint with the least expected cost.
    pub fn best(&self, table: &EndpointTable) -> Option<EndpointKey> {
        table
            .of_group(self.group)
            .filter(|(key, state)| !self.tried.contains(key) && self.is_usable(state))
            .map(|(key, state)| (key, self.cost(state)))
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(key, _)| key)
    }

    fn is_primary(&self, state: &EndpointState) -> bool {
        self.primary == Some(state.record.id.as_str())
    }

    fn is_usable(&self, state: &EndpointState) -> bool {
        let is_open =
            !state.record.is_draining && !self.evacuated.contains_key(&state.record.domain);
        is_open && (self.floor.is_some() || self.is_primary(state))
    }

    fn cost(&self, state: &EndpointState) -> f64 {
        let is_primary = self.is_primary(state);
        let is_behind = !is_primary
            && self.floor.is_some_and(|floor| state.position < floor)
            && self.now < state.lagging_until;
        let latency = match state.latency_us {
            latency if latency > 0.0 => latency,
            _ => UNKNOWN_LATENCY_US,
        };
        let load = f64::from(state.in_flight) / f64::from(state.record.slots.max(1));
        let penalty = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
        latency * (1.0 + load)
            + penalty(state.record.domain != self.domain, REMOTE_COST_US)
            + penalty(is_primary, PRIMARY_COST_US)
            + penalty(self.now < state.busy_until, BUSY_COST_US)
            + penalty(is_behind, LAGGING_COST_US)
            + penalty(state.failing_since.is_some(), FAILING_COST_US)
    }
}

//! Selection of the endpoint for a read.

use std::collections::HashMap;

use super::clock::BootInstant;
use super::endpoint::{EndpointKey, EndpointState, EndpointTable, LogPosition};

/// Cost of another failure domain, as microseconds of latency: traffic between domains is
/// expensive.
const REMOTE_COST_US: f64 = 30_000.0;
/// Cost of the primary, as microseconds of latency: no other endpoint can take the writes.
const PRIMARY_COST_US: f64 = 25_000.0;
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
    /// Evacuated failure domains, and when this host learned of it.
    pub evacuated: &'a HashMap<String, BootInstant>,
    /// Endpoints that were already tried.
    pub tried: &'a [EndpointKey],
    /// Time of the choice.
    pub now: BootInstant,
}

impl ReadChoice<'_> {
    /// The usable endpoint with the lowest expected cost.
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
        is_open && (self.min_position.is_some() || self.is_primary(state))
    }

    fn cost(&self, state: &EndpointState) -> f64 {
        let is_primary = self.is_primary(state);
        let is_behind = !is_primary
            && self.min_position.is_some_and(|min_position| state.position < min_position)
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

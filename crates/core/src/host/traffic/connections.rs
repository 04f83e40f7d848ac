//! Limits on the connections that this host may hold open to endpoints.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use tanagerdeal_wire::EndpointName;
use tanagerdeal_wire::peer::ShareResource;

use crate::host::HostState;
use crate::message::{EndpointKey, HostOutput};

/// Time before the end of a loan during which its connections get no new work, so that those in use
/// are free before the lender opens them again.
const LOAN_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Whether new work may begin on an endpoint. The share held is checked again here, because this
/// host may have been paused since the limit was updated.
pub(super) fn has_capacity(state: &HostState, now: Instant, endpoint: EndpointKey) -> bool {
    let Some(address) = state.endpoints.address(endpoint) else { return false };
    let resource = ShareResource::EndpointConnections(address.name.clone());
    let held = u64::from(state.queues.held(endpoint));
    state.queues.has_room(endpoint) && held < state.shares.held(now, &resource)
}

/// Updates the connection limit of each endpoint from the share held, and reports changed limits to
/// the runtime.
pub(super) fn update_limits(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let capacities: Vec<(EndpointKey, u32)> = state
        .endpoints
        .capacities()
        .map(|(endpoint, _, connections)| (endpoint, connections))
        .collect();
    let mut known = HashSet::new();
    for (endpoint, total) in capacities {
        let name = state.endpoints.address(endpoint).map(|address| address.name.clone());
        let Some(name) = name else { continue };
        update_limit(state, now, (endpoint, &name, total), outputs);
        known.insert(name);
    }
    state.shares.retain_endpoints(|name| known.contains(name));
}

fn update_limit(
    state: &mut HostState,
    now: Instant,
    (endpoint, name, total): (EndpointKey, &EndpointName, u32),
    outputs: &mut Vec<HostOutput>,
) {
    let in_use = u64::from(state.queues.held(endpoint));
    let wanted = state.queues.take_wanted(endpoint);
    state.shares.note_connections(now, name, total, (in_use, wanted));
    let resource = ShareResource::EndpointConnections(name.clone());
    // Connections on loans that end soon do not count towards the limit.
    let held = state.shares.held(now, &resource);
    let held_after_drain = state.shares.held(now + LOAN_DRAIN_TIME, &resource).min(held);
    // With no connections allowed, requests on a lost endpoint fail now and not at their deadlines.
    let is_lost = state.endpoints.is_lost(now, endpoint);
    let limit = match is_lost {
        true => 0,
        false => u32::try_from(held_after_drain).unwrap_or(u32::MAX).min(total),
    };
    if state.queues.connections(endpoint) == limit {
        return;
    }
    // Other hosts do not use connections that were taken from this host's base share until it has
    // reported that those in use fit the new one, so transactions on them may finish.
    let close_by = match held_after_drain < held {
        _ if is_lost => now,
        true => state.shares.next_connection_end(now, name).unwrap_or(now),
        false => now + state.profile.timing.drain_limit,
    };
    state.queues.set_connections(endpoint, limit);
    let Some(address) = state.endpoints.address(endpoint).cloned() else { return };
    let (name, sql_address) = (address.name, address.sql_address);
    outputs.push(HostOutput::LimitConnections { endpoint, name, sql_address, limit, close_by });
}

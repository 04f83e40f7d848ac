//! Connections that this host may hold open to endpoints.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use tanagerdeal_wire::EndpointName;
use tanagerdeal_wire::peer::ShareResource;

use crate::host::HostState;
use crate::message::{EndpointKey, HostOutput};

/// Time before the end of a loan from which its connections get no new work, so that those in use
/// are free before the lender opens them again.
const LOAN_NOTICE: Duration = Duration::from_secs(2);

/// Whether new work may begin on an endpoint. The holdings are checked anew, because this host may
/// have been paused since they were adopted.
pub(super) fn has_room(state: &HostState, now: Instant, endpoint: EndpointKey) -> bool {
    let Some(address) = state.endpoints.address(endpoint) else { return false };
    let resource = ShareResource::EndpointConnections(address.name.clone());
    let held = u64::from(state.queues.held(endpoint));
    state.queues.has_room(endpoint) && held < state.shares.held(now, &resource)
}

/// Adopts the connections held by this host, and tells the runtime where the number has changed.
pub(super) fn adopt_limits(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let capacities: Vec<(EndpointKey, u32)> = state
        .endpoints
        .capacities()
        .map(|(endpoint, _, connections)| (endpoint, connections))
        .collect();
    let mut known = HashSet::new();
    for (endpoint, total) in capacities {
        let name = state.endpoints.address(endpoint).map(|address| address.name.clone());
        let Some(name) = name else { continue };
        adopt_limit(state, now, (endpoint, &name, total), outputs);
        known.insert(name);
    }
    state.shares.retain_endpoints(|name| known.contains(name));
}

fn adopt_limit(
    state: &mut HostState,
    now: Instant,
    (endpoint, name, total): (EndpointKey, &EndpointName, u32),
    outputs: &mut Vec<HostOutput>,
) {
    let in_use = u64::from(state.queues.held(endpoint));
    let wanted = state.queues.take_wanted(endpoint);
    state.shares.note_connections(now, name, total, (in_use, wanted));
    let resource = ShareResource::EndpointConnections(name.clone());
    // The limit leaves out loans that end soon.
    let held = state.shares.held(now, &resource);
    let lasting = state.shares.held(now + LOAN_NOTICE, &resource).min(held);
    // Requests on a lost endpoint get their verdict now and not at their deadlines.
    let is_lost = state.endpoints.is_lost(now, endpoint);
    let limit = match is_lost {
        true => 0,
        false => u32::try_from(lasting).unwrap_or(u32::MAX).min(total),
    };
    if state.queues.connections(endpoint) == limit {
        return;
    }
    // Connections of the base share are not counted on by others before this host has reported
    // that those in use fit, so that transactions on them may finish.
    let close_by = match lasting < held {
        _ if is_lost => now,
        true => state.shares.next_connection_end(now, name).unwrap_or(now),
        false => now + state.profile.timing.drain_limit,
    };
    state.queues.set_connections(endpoint, limit);
    let Some(address) = state.endpoints.address(endpoint).cloned() else { return };
    let (name, sql_address) = (address.name, address.sql_address);
    outputs.push(HostOutput::LimitConnections { endpoint, name, sql_address, limit, close_by });
}

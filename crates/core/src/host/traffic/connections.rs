//! Connections that this host may hold open to endpoints.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use tanagerdeal_wire::EndpointName;
use tanagerdeal_wire::peer::ShareResource;

use crate::host::HostState;
use crate::message::{EndpointKey, HostOutput};

/// Time before the end of a loan from which its connections get no new work, so that those in use
/// are free before the lender opens them again.
pub(super) const LOAN_NOTICE: Duration = Duration::from_secs(2);

/// Adopts the connections held by this host, and tells the runtime where the number has changed.
pub(super) fn adopt_limits(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let capacities: Vec<(EndpointKey, u32)> = state
        .endpoints
        .capacities()
        .map(|(endpoint, _, connections)| (endpoint, connections))
        .collect();
    for (endpoint, total) in capacities {
        let Some(address) = state.endpoints.address(endpoint).cloned() else { continue };
        let in_use = u64::from(state.queues.held(endpoint));
        state.shares.note_connections(now, &address.name, total, in_use);
        let resource = ShareResource::EndpointConnections(address.name.clone());
        // The limit leaves out loans that end soon.
        let held = state.shares.held(now, &resource);
        let lasting = state.shares.held(now + LOAN_NOTICE, &resource).min(held);
        let limit = u32::try_from(lasting).unwrap_or(u32::MAX).min(total);
        if state.queues.connections(endpoint) == limit {
            continue;
        }
        let close_by = match lasting < held {
            true => state.shares.next_connection_end(now, &address.name).unwrap_or(now),
            false => now,
        };
        state.queues.set_connections(endpoint, limit);
        let (name, sql_address) = (address.name, address.sql_address);
        outputs.push(HostOutput::LimitConnections { endpoint, name, sql_address, limit, close_by });
    }
}

/// Forgets the connections of endpoints that no longer exist.
pub(super) fn forget_endpoints(state: &mut HostState) {
    let known: HashSet<EndpointName> = state
        .endpoints
        .capacities()
        .filter_map(|(endpoint, _, _)| state.endpoints.address(endpoint))
        .map(|address| address.name.clone())
        .collect();
    state.shares.retain_endpoints(|name| known.contains(name));
}

//! Requests to other hosts for loans of shares.

use std::time::{Duration, Instant};

use rand::Rng as _;
use tanagerdeal_wire::HostName;
use tanagerdeal_wire::peer::{BorrowRequest, PeerRequest, ShareResource};

use crate::host::HostState;
use crate::message::HostOutput;
use crate::profile::LimitPolicy;
use crate::share::demand::BORROW_TIMEOUT;

/// Hosts that are asked at once for one resource.
const ASKED_AT_ONCE: usize = 4;

/// Time before the end of a loan at which the next one is asked for.
const RENEW_AHEAD: Duration = Duration::from_secs(3);

/// Borrows the resources whose use comes near to what is held.
pub(super) fn borrow(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    state.shares.prune_paces(now);
    if state.profile.policies.limits == LimitPolicy::EqualSplit {
        return;
    }
    for (resource, missing) in state.shares.shortages(now, RENEW_AHEAD) {
        ask(state, now, &resource, missing, outputs);
    }
}

/// Borrows a resource at once because a request waits for it; tells whether an answer is expected.
pub(super) fn ask_now(
    state: &mut HostState,
    now: Instant,
    resource: &ShareResource,
    outputs: &mut Vec<HostOutput>,
) -> bool {
    if state.profile.policies.limits == LimitPolicy::EqualSplit {
        return false;
    }
    if let Some(missing) = state.shares.shortage(now, RENEW_AHEAD, resource) {
        ask(state, now, resource, missing, outputs);
    }
    state.shares.pace(resource).is_open(now)
}

/// Asks some hosts for equal parts of what is missing. The first host is random, so that borrowers
/// spread over lenders.
fn ask(
    state: &mut HostState,
    now: Instant,
    resource: &ShareResource,
    missing: u64,
    outputs: &mut Vec<HostOutput>,
) {
    if !state.shares.pace(resource).may_ask(now) {
        return;
    }
    let mut peers: Vec<HostName> =
        state.hosts.live_peers(now).into_iter().map(|(host, _)| host.clone()).collect();
    peers.retain(|host| state.shares.pace(resource).may_ask_host(now, host));
    if peers.is_empty() {
        return;
    }
    let first = state.random.random_range(0..peers.len());
    peers.rotate_left(first);
    peers.truncate(ASKED_AT_ONCE);
    let units = missing.div_ceil(peers.len() as u64);
    state.shares.pace(resource).begin_round(now);
    for host in peers {
        let request = PeerRequest::Borrow(BorrowRequest {
            resource: resource.clone(),
            units,
            borrower: state.profile.identity.host.clone(),
            incarnation: state.profile.identity.incarnation,
        });
        if state.hosts.send(&host, request, now + BORROW_TIMEOUT, outputs).is_some() {
            state.counters.peer_calls += 1;
            state.shares.pace(resource).ask(now, host);
        }
    }
}

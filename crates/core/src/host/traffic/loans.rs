//! Requests to other hosts for loans of shares.

use std::time::{Duration, Instant};

use rand::Rng as _;
use tanagerdeal_wire::peer::{BorrowRequest, PeerRequest, ShareResource};
use tanagerdeal_wire::{CustomerName, HostName};

use crate::host::HostState;
use crate::membership::host_rank;
use crate::message::HostOutput;
use crate::profile::LimitPolicy;
use crate::share::demand::BORROW_TIMEOUT;
use crate::share::{LoanKind, ShareNeed};

/// Hosts that are asked at once for one resource.
const ASKED_AT_ONCE: usize = 4;

/// Hosts of a round for tokens that have what is missing if each has its part.
const BRIEF_PARTS: usize = 2;

/// Largest fleet in which a customer has one home.
const GATHERED_HOSTS: usize = 15;

/// Time of the loans to a home, which is how long tokens are missing after it died.
const GATHER_LOAN: Duration = Duration::from_secs(2);

/// Interval at which a home renews its loans; one lost message does not end them.
const GATHER_INTERVAL: Duration = Duration::from_millis(800);

/// Time before the end of a loan at which the next one is asked for.
const RENEW_AHEAD: Duration = Duration::from_secs(3);

/// Borrows the resources whose use comes near to what is held.
pub(super) fn borrow(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    state.shares.prune_paces(now);
    if state.profile.policies.limits == LimitPolicy::EqualSplit {
        return;
    }
    for need in state.shares.shortages(now, RENEW_AHEAD) {
        ask(state, now, &need, LoanKind::Lasting, outputs);
    }
    for customer in state.shares.small_in_use(now) {
        gather(state, now, customer, outputs);
    }
}

/// Borrows the base shares of a customer from all hosts, if this host is the customer's home. Shares
/// of one or two tokens overflow at some hosts while others lack tokens; one bucket does not.
fn gather(
    state: &mut HostState,
    now: Instant,
    customer: CustomerName,
    outputs: &mut Vec<HostOutput>,
) {
    let resource = ShareResource::CustomerRate(customer);
    if !state.shares.pace(&resource, LoanKind::Lasting).may_ask(now) {
        return;
    }
    let peers = live_peers(state, now);
    if home(state, now, &peers, &resource).as_ref() != Some(&state.profile.identity.host) {
        return;
    }
    state.shares.pace(&resource, LoanKind::Lasting).begin_regular(now, GATHER_INTERVAL);
    let units = state.shares.base_units(now);
    for host in peers {
        send(state, now, (host, &resource), (units, GATHER_LOAN), LoanKind::Lasting, outputs);
    }
}

fn live_peers(state: &HostState, now: Instant) -> Vec<HostName> {
    state.hosts.live_peers(now).into_iter().map(|(host, _)| host.clone()).collect()
}

/// The host that gathers the base shares of a resource, by rendezvous hashing; none in a fleet in
/// which it would have to ask too many hosts. The next one takes the place of a silent one.
fn home(
    state: &mut HostState,
    now: Instant,
    peers: &[HostName],
    resource: &ShareResource,
) -> Option<HostName> {
    let ShareResource::CustomerRate(customer) = resource else { return None };
    let own = &state.profile.identity.host;
    let pace = state.shares.pace(resource, LoanKind::Brief);
    let hosts = peers.iter().chain([own]).filter(|host| !pace.is_silent(now, host));
    let first = hosts.min_by_key(|host| host_rank(customer.as_str(), host.as_str()));
    first.filter(|_| peers.len() < GATHERED_HOSTS).cloned()
}

fn send(
    state: &mut HostState,
    now: Instant,
    (host, resource): (HostName, &ShareResource),
    (units, valid): (u64, Duration),
    pace: LoanKind,
    outputs: &mut Vec<HostOutput>,
) {
    let request = PeerRequest::Borrow(BorrowRequest {
        resource: resource.clone(),
        units,
        valid_ms: u64::try_from(valid.as_millis()).unwrap_or(u64::MAX),
        borrower: state.profile.identity.host.clone(),
        incarnation: state.profile.identity.incarnation,
    });
    if state.hosts.send(&host, request, now + BORROW_TIMEOUT, outputs).is_some() {
        state.counters.peer_calls += 1;
        state.shares.pace(resource, pace).ask(now, host);
    }
}

/// Borrows of a customer's rate at once because a request waits for it; tells whether an answer is
/// expected.
pub(super) fn ask_now(
    state: &mut HostState,
    now: Instant,
    (customer, requests): (&CustomerName, usize),
    until: Instant,
    outputs: &mut Vec<HostOutput>,
) -> bool {
    if state.profile.policies.limits == LimitPolicy::EqualSplit {
        return false;
    }
    let resource = ShareResource::CustomerRate(customer.clone());
    let units = state.shares.missing_units(now, customer, requests as u64);
    let kind = LoanKind::Brief;
    let tokens = (units > 0).then_some(ShareNeed { resource: resource.clone(), units, kind });
    if state.shares.is_small(customer) {
        if let Some(need) = tokens {
            ask(state, now, &need, LoanKind::Brief, outputs);
        }
        return state.shares.pace(&resource, LoanKind::Brief).may_bring(now, until);
    }
    let need = state.shares.rate_shortage(now, RENEW_AHEAD, customer);
    let is_brief = need.as_ref().is_some_and(|need| need.kind == LoanKind::Brief);
    if let Some(need) = if is_brief { tokens } else { need } {
        ask(state, now, &need, LoanKind::Lasting, outputs);
    }
    state.shares.pace(&resource, LoanKind::Lasting).is_open(now)
}

/// Asks some hosts for what is missing, in parts that reach if half of them lend it for long, or two
/// of them lend it for a moment. The first host is random, so that borrowers spread
/// over lenders.
fn ask(
    state: &mut HostState,
    now: Instant,
    need: &ShareNeed,
    pace: LoanKind,
    outputs: &mut Vec<HostOutput>,
) {
    let resource = &need.resource;
    if !state.shares.pace(resource, pace).may_ask(now) {
        return;
    }
    let mut peers = live_peers(state, now);
    let home = home(state, now, &peers, resource).filter(|_| pace == LoanKind::Brief);
    peers.retain(|host| state.shares.pace(resource, pace).may_ask_host(now, host));
    if peers.is_empty() {
        return;
    }
    // The home has most tokens. After an answer that brought too little, or none, others are asked.
    let home = home.filter(|home| peers.contains(home));
    let is_home = home.is_some();
    if let Some(home) = home {
        peers = vec![home];
    }
    let first = state.random.random_range(0..peers.len());
    peers.rotate_left(first);
    peers.truncate(ASKED_AT_ONCE);
    let parts = match need.kind {
        LoanKind::Lasting => peers.len().div_ceil(2),
        LoanKind::Brief => peers.len().min(BRIEF_PARTS),
    };
    let units = need.units.div_ceil(parts as u64);
    let valid = state.shares.loan_time(need.kind);
    state.shares.pace(resource, pace).begin_round(now, units, is_home);
    for host in peers {
        // Units that last longer than the need are asked for again, because loans of one lender do
        // not add up. Tokens do.
        let kept = match need.kind {
            LoanKind::Lasting => state.shares.taken_from(now + RENEW_AHEAD, &host, resource),
            LoanKind::Brief => 0,
        };
        send(state, now, (host, resource), (kept + units, valid), pace, outputs);
    }
}

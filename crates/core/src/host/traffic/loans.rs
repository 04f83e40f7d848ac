//! Requests to other hosts for loans of their shares.

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

/// Maximum number of hosts asked at once for one resource.
const MAX_HOSTS_PER_ROUND: usize = 4;

/// Number of hosts among which the units for one request are divided. Loans by this many of the
/// hosts asked cover the need.
const BRIEF_LENDERS: usize = 2;

/// Largest number of hosts in a fleet in which customers have a home host.
const MAX_HOME_FLEET: usize = 15;

/// Duration of loans to a home host. After the home host fails, the tokens are missing for as long.
const HOME_LOAN_DURATION: Duration = Duration::from_secs(2);

/// Interval at which a home host renews its loans. It is short enough that one lost message does
/// not end them.
const HOME_RENEWAL_INTERVAL: Duration = Duration::from_millis(800);

/// Time before the end of a loan at which the next one is requested.
const RENEWAL_LEAD_TIME: Duration = Duration::from_secs(3);

/// Requests loans of the resources whose use comes close to the share held.
pub(super) fn borrow(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    state.shares.prune_paces(now);
    if state.profile.policies.limits == LimitPolicy::EqualSplit {
        return;
    }
    let peers = state.hosts.others(now).count();
    state.shares.set_gathered((1..MAX_HOME_FLEET).contains(&peers));
    for need in state.shares.shortages(now, RENEWAL_LEAD_TIME) {
        request_loans(state, now, &need, LoanKind::Lasting, outputs);
    }
    for customer in state.shares.small_lacking(now) {
        borrow_for_home(state, now, customer, outputs);
    }
}

/// Borrows the base shares of a customer from all hosts, if this host is the customer's home host.
/// With shares of one or two tokens, the buckets of some hosts overflow while others lack tokens; a
/// single bucket avoids this.
fn borrow_for_home(
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
    if home_host(state, now, &peers, &resource).as_ref() != Some(&state.profile.identity.host) {
        return;
    }
    state.shares.pace(&resource, LoanKind::Lasting).begin_regular(now, HOME_RENEWAL_INTERVAL);
    let units = state.shares.base_units(now);
    for host in peers {
        send_borrow_request(
            state,
            now,
            (host, &resource),
            (units, HOME_LOAN_DURATION),
            LoanKind::Lasting,
            outputs,
        );
    }
}

fn live_peers(state: &HostState, now: Instant) -> Vec<HostName> {
    state.hosts.live_peers(now).into_iter().map(|(host, _)| host.clone()).collect()
}

/// Home host of a customer, which collects the base shares of the customer's rate. It is chosen by
/// rendezvous hashing; a host that does not answer is replaced by the next in rank. `None` in a
/// fleet so large that the home host would have to ask too many hosts.
fn home_host(
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
    first.filter(|_| peers.len() < MAX_HOME_FLEET).cloned()
}

fn send_borrow_request(
    state: &mut HostState,
    now: Instant,
    (host, resource): (HostName, &ShareResource),
    (units, valid): (u64, Duration),
    pace_kind: LoanKind,
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
        state.shares.pace(resource, pace_kind).ask(now, host);
    }
}

/// Requests a loan of a customer's rate at once because a request waits for it. Returns whether a
/// loan may still arrive.
pub(super) fn borrow_for_waiting(
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
            request_loans(state, now, &need, LoanKind::Brief, outputs);
        }
        return state.shares.pace(&resource, LoanKind::Brief).may_bring(now, until);
    }
    let need = state.shares.rate_shortage(now, RENEWAL_LEAD_TIME, customer);
    let is_brief = need.as_ref().is_some_and(|need| need.kind == LoanKind::Brief);
    if let Some(need) = if is_brief { tokens } else { need } {
        request_loans(state, now, &need, LoanKind::Lasting, outputs);
    }
    state.shares.pace(&resource, LoanKind::Lasting).is_open(now)
}

/// Asks some hosts for the missing units. The amount is divided so that loans by half of the hosts
/// cover a lasting need, and loans by [`BRIEF_LENDERS`] hosts cover that of a single request. The
/// first host is random, so that borrowers spread over lenders.
fn request_loans(
    state: &mut HostState,
    now: Instant,
    need: &ShareNeed,
    pace_kind: LoanKind,
    outputs: &mut Vec<HostOutput>,
) {
    let resource = &need.resource;
    if !state.shares.pace(resource, pace_kind).may_ask(now) {
        return;
    }
    let mut peers = live_peers(state, now);
    let home = home_host(state, now, &peers, resource).filter(|_| pace_kind == LoanKind::Brief);
    peers.retain(|host| state.shares.pace(resource, pace_kind).may_ask_host(now, host));
    if peers.is_empty() {
        return;
    }
    // The home host has most tokens. After an answer that brought too little, or none, other hosts
    // are asked.
    let home = home.filter(|home| peers.contains(home));
    let is_for_home = home.is_some();
    if let Some(home) = home {
        peers = vec![home];
    }
    let first = state.random.random_range(0..peers.len());
    peers.rotate_left(first);
    peers.truncate(MAX_HOSTS_PER_ROUND);
    let parts = match need.kind {
        LoanKind::Lasting => peers.len().div_ceil(2),
        LoanKind::Brief => peers.len().min(BRIEF_LENDERS),
    };
    let units = need.units.div_ceil(parts as u64);
    let valid = state.shares.loan_time(need.kind);
    state.shares.pace(resource, pace_kind).begin_round(now, units, is_for_home);
    for host in peers {
        // Unit loans by one lender do not add up, so those that outlast the lead time are requested
        // again with the missing ones. Token loans add up.
        let renewed = match need.kind {
            LoanKind::Lasting => state.shares.taken_from(now + RENEWAL_LEAD_TIME, &host, resource),
            LoanKind::Brief => 0,
        };
        send_borrow_request(
            state,
            now,
            (host, resource),
            (renewed + units, valid),
            pace_kind,
            outputs,
        );
    }
}

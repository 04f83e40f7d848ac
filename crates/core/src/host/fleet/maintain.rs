//! Share views of failure domains, kept by their relays with compare-and-set.
//!
//! A host is added when its lease is live. It is removed when its lease has not changed for
//! `lease_expired` by this host's clock, or `released_ms` after a release was seen. The removal deletes
//! the lease in the same transaction, so a renewal by the removed host conflicts. A failure domain is
//! listed in [`FLEET_VIEW_KEY`] while its view has hosts.

use std::time::{Duration, Instant};

use tanagerdeal_wire::platform::{RevisionCheck, TableWrite, TxnRequest};
use tanagerdeal_wire::view::{
    FLEET_VIEW_KEY, FleetView, LEASE_PREFIX, ShareView, VIEW_PREFIX, ViewMember,
};
use tanagerdeal_wire::{DomainName, HostName};

use super::HostState;
use crate::catalog::SeenLease;
use crate::membership::{RELAYS, host_rank};
use crate::message::HostOutput;
use crate::message::fleet::{StorePurpose, StoreRequest};

/// Time for which a relay leaves a wanted change to the one of the rank before it.
const RANK_DELAY: Duration = Duration::from_secs(5);

/// Handles the answer to a change of a view. Whatever it says, the feed is read before the next
/// change: the outcome of a lost answer, and the other change of a conflict, show there.
pub(super) fn answered(state: &mut HostState, now: Instant) {
    state.maintain.is_writing = false;
    state.maintain.read_after = Some(now);
}

/// Makes the next change that a view of this host's failure domain, or of one without hosts, needs.
pub(super) fn run(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let rank = state.hosts.current_plan().rank;
    let Some(read_at) = state.maintain.feed_read_at.filter(|_| rank < RELAYS) else { return };
    let is_old = state.maintain.examined_at == Some(read_at)
        || state.maintain.read_after.is_some_and(|at| read_at <= at);
    if state.maintain.is_writing || is_old {
        return;
    }
    state.maintain.examined_at = Some(read_at);
    note_missing(state, now);
    let domains = maintained(state, now);
    let Some(txn) = domains.iter().find_map(|domain| next_change(state, read_at, domain)) else {
        state.maintain.wanted_since = None;
        return;
    };
    let wanted_since = *state.maintain.wanted_since.get_or_insert(now);
    let delay = RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
    if now >= wanted_since + delay {
        state.maintain.is_writing = true;
        let request = StoreRequest::Transact { purpose: StorePurpose::View, txn };
        super::store::call(state, request, outputs);
    }
}

/// The own failure domain, and those without live hosts that this host's one is to look after.
fn maintained(state: &HostState, now: Instant) -> Vec<DomainName> {
    let own = &state.profile.identity.domain;
    let mut live: Vec<_> = state.hosts.others(now).map(|(_, host)| &host.domain).collect();
    live.push(own);
    let orphans = state.catalog.views().map(|(domain, _)| domain).filter(|domain| {
        let first = live.iter().min_by_key(|live| host_rank(domain.as_str(), live.as_str()));
        !live.contains(domain) && first == Some(&own)
    });
    std::iter::once(own).chain(orphans).cloned().collect()
}

/// Notes since when members of views have been without a lease of their own.
fn note_missing(state: &mut HostState, now: Instant) {
    let views = state.catalog.views();
    let members = views.flat_map(|(_, view)| &view.hosts);
    let without = members.filter(|member| own_lease(state, member).is_none()).cloned();
    let missing: Vec<_> = without
        .map(|member| {
            let noted = state.maintain.missing.iter().find(|(known, _)| *known == member);
            let since = noted.map_or(now, |(_, since)| *since);
            (member, since)
        })
        .collect();
    state.maintain.missing = missing;
}

/// The lease that belongs to a place in a view, if it is the last one seen of that host.
fn own_lease<'a>(state: &'a HostState, member: &ViewMember) -> Option<&'a SeenLease> {
    state.catalog.lease(&member.host).filter(|lease| {
        let record = &lease.record;
        (record.incarnation, record.generation) == (member.incarnation, member.generation)
    })
}

fn next_change(state: &HostState, read_at: Instant, domain: &DomainName) -> Option<TxnRequest> {
    change_of_view(state, read_at, domain).or_else(|| change_of_fleet(state, domain))
}

/// Adds and removes hosts, judged by leases as of a read of the feed.
fn change_of_view(state: &HostState, read_at: Instant, domain: &DomainName) -> Option<TxnRequest> {
    let key = format!("{VIEW_PREFIX}{domain}");
    if is_not_understood(state, &key) {
        return None;
    }
    let view = state.catalog.view(domain);
    let old = view.map_or(&[][..], |view| &view.hosts);
    let (gone, mut hosts): (Vec<_>, Vec<_>) =
        old.iter().cloned().partition(|member| is_gone(state, read_at, member));
    let added = live_hosts(state, read_at, domain);
    hosts.extend(added.filter(|member| !old.contains(member)));
    if hosts == old {
        return None;
    }
    let mut checks = vec![check(state, key.clone())];
    let epoch = view.map_or(0, |view| view.epoch) + 1;
    let value = Some(ShareView::new(epoch, hosts).encode());
    let mut writes = vec![TableWrite { key, value }];
    for member in gone.iter().filter(|member| !is_replaced(state, member)) {
        let key = format!("{LEASE_PREFIX}{}", member.host);
        checks.push(check(state, key.clone()));
        writes.push(TableWrite { key, value: None });
    }
    Some(TxnRequest { checks, writes })
}

/// Lists a failure domain while its view has hosts. The check of the view keeps a host from joining it
/// while the failure domain is taken off the list.
fn change_of_fleet(state: &HostState, domain: &DomainName) -> Option<TxnRequest> {
    let view_key = format!("{VIEW_PREFIX}{domain}");
    if is_not_understood(state, FLEET_VIEW_KEY) || is_not_understood(state, &view_key) {
        return None;
    }
    let has_hosts = state.catalog.view(domain).is_some_and(|view| !view.hosts.is_empty());
    let fleet = state.catalog.fleet_view();
    let mut domains = fleet.map_or(Vec::new(), |fleet| fleet.domains.clone());
    match domains.contains(domain) {
        is_listed if is_listed == has_hosts => return None,
        true => domains.retain(|listed| listed != domain),
        false => domains.push(domain.clone()),
    }
    let checks = vec![check(state, FLEET_VIEW_KEY.to_owned()), check(state, view_key)];
    let epoch = fleet.map_or(0, |fleet| fleet.epoch) + 1;
    let value = Some(FleetView::new(epoch, domains).encode());
    let writes = vec![TableWrite { key: FLEET_VIEW_KEY.to_owned(), value }];
    Some(TxnRequest { checks, writes })
}

fn is_not_understood(state: &HostState, key: &str) -> bool {
    state.catalog.unknown().any(|(unknown, _)| unknown == key)
}

fn check(state: &HostState, key: String) -> RevisionCheck {
    RevisionCheck { revision: state.catalog.key_revision(&key), key }
}

/// Whether a place in a view is free, as of a read of the feed.
fn is_gone(state: &HostState, read_at: Instant, member: &ViewMember) -> bool {
    if is_replaced(state, member) {
        return true;
    }
    let expired = state.profile.timing.lease_expired;
    match own_lease(state, member) {
        Some(lease) => read_at >= lease.seen_at + hold(state, lease),
        None => {
            let mut missing = state.maintain.missing.iter();
            let since = missing.find(|(known, _)| known == member).map(|(_, since)| *since);
            since.is_some_and(|since| read_at >= since + expired)
        }
    }
}

/// Whether the host itself has given up the place for a newer lease.
fn is_replaced(state: &HostState, member: &ViewMember) -> bool {
    state.catalog.lease(&member.host).is_some_and(|lease| {
        let record = &lease.record;
        record.incarnation == member.incarnation && record.generation > member.generation
    })
}

/// Time for which a lease counts since it was seen.
fn hold(state: &HostState, lease: &SeenLease) -> Duration {
    let expired = state.profile.timing.lease_expired;
    lease.record.released_ms.map_or(expired, |ms| expired.min(Duration::from_millis(ms)))
}

/// Hosts of a failure domain with a live lease.
fn live_hosts<'a>(
    state: &'a HostState,
    read_at: Instant,
    domain: &'a DomainName,
) -> impl Iterator<Item = ViewMember> {
    let is_live = move |lease: &SeenLease| {
        let expired = state.profile.timing.lease_expired;
        let is_held = lease.record.released_ms.is_none() && read_at < lease.seen_at + expired;
        lease.record.domain == *domain && is_held
    };
    let to_member = |(host, lease): (&HostName, &SeenLease)| ViewMember {
        host: host.clone(),
        incarnation: lease.record.incarnation,
        generation: lease.record.generation,
    };
    state.catalog.leases().filter(move |(_, lease)| is_live(lease)).map(to_member)
}

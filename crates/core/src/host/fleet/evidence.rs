//! Whether keyed requests may be served while the catalog is not confirmed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use tanagerdeal_wire::DomainName;

use super::HostState;
use crate::membership::KnownHost;
use crate::profile::WithoutStorePolicy;

/// A host's report counts for this long.
const REPORT_RECENT: Duration = Duration::from_secs(2);

/// A contact with the store within this time could have brought a change into effect.
const CONTACT_RECENT: Duration = Duration::from_secs(2);

/// Whether requests that need a key may be served, judged by the catalog confirmation.
///
/// The instants are compared anew for each request, so a process that was paused does not go on
/// serving on what it knew before.
pub(in crate::host) fn may_serve_keyed(state: &HostState, now: Instant) -> bool {
    let stale_after = state.profile.timing.stale_after;
    let confirmed_at = state.catalog.confirmed_at();
    let is_fresh = confirmed_at.is_some_and(|at| now.saturating_duration_since(at) <= stale_after);
    match state.profile.policies.without_store {
        _ if is_fresh => true,
        WithoutStorePolicy::Never => false,
        WithoutStorePolicy::Always => true,
        WithoutStorePolicy::Evidence => {
            confirmed_at.is_some() && state.evidence_until.is_some_and(|until| now <= until)
        }
    }
}

/// Gathers the evidence that no host reaches the store; needed only when the catalog ages.
pub(super) fn run(state: &mut HostState, now: Instant) {
    let refresh_after = state.profile.timing.refresh_after;
    let confirmed_at = state.catalog.confirmed_at();
    let is_aged = confirmed_at.is_none_or(|at| now.saturating_duration_since(at) > refresh_after);
    state.evidence_until = if is_aged { gather(state, now) } else { None };
}

/// Until when the reports of other hosts prove that no host reaches the store.
fn gather(state: &HostState, now: Instant) -> Option<Instant> {
    let own_contact = state.store.reached_at();
    let is_recent = |at: Instant| now.saturating_duration_since(at) <= CONTACT_RECENT;
    if !state.store.has_failed(now) || own_contact.is_some_and(is_recent) {
        return None;
    }
    let own_host = &state.profile.identity.host;
    let others = state.hosts.hosts().filter(|(name, _)| *name != own_host);
    if others.filter_map(|(_, host)| contact(host)).any(is_recent) {
        return None;
    }
    let domains = other_domains(state);
    let reports = domains.iter().map(|domain| last_report(state, now, domain));
    let earliest = reports.min().flatten()?;
    Some(earliest + REPORT_RECENT)
}

/// When a host last reached the store, as it reported.
fn contact(host: &KnownHost) -> Option<Instant> {
    let reached = Duration::from_millis(host.state.as_ref()?.store_reached_ms?);
    host.made_at?.checked_sub(reached)
}

/// The newest recent report of a failure domain's hosts that the store cannot be reached.
fn last_report(state: &HostState, now: Instant, domain: &DomainName) -> Option<Instant> {
    let hosts = state.hosts.hosts().filter(|(_, host)| host.domain == *domain);
    let failing = hosts.filter(|(_, host)| host.state.as_ref().is_some_and(|s| s.store_failing));
    let newest = failing.filter_map(|(_, host)| host.made_at).max()?;
    (now.saturating_duration_since(newest) <= REPORT_RECENT).then_some(newest)
}

/// Failure domains other than this host's: those with hosts, and those that hold shares.
fn other_domains(state: &HostState) -> BTreeSet<DomainName> {
    let listed = state.catalog.fleet_view().into_iter().flat_map(|view| &view.domains);
    let domains = state.hosts.domains().into_iter().chain(listed);
    domains.filter(|domain| **domain != state.profile.identity.domain).cloned().collect()
}

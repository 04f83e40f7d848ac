//! Which groups this host probes: those it watches, and those it has recently used.

use std::time::{Duration, Instant};

use tanagerdeal_wire::{DomainName, HostName};

use super::super::HostState;
use super::probe;
use crate::message::{GroupKey, HostOutput};

/// Time for which a group is probed after a request on it, so that the next request of a client
/// that pauses for a few seconds is routed without delay.
const USE_RETENTION: Duration = Duration::from_secs(10);

/// Reassigns watchers after a change of the live hosts or the catalog, and starts or stops probing.
pub(super) fn run(state: &mut HostState, now: Instant) {
    if !state.failovers.plan.take_due(now) {
        return;
    }
    let identity = &state.profile.identity;
    let owned = |(host, domain): (&HostName, &DomainName)| (host.clone(), domain.clone());
    let mut hosts: Vec<_> = state.hosts.heard(now).map(owned).collect();
    hosts.push((identity.host.clone(), identity.domain.clone()));
    let revision = state.catalog.revision();
    if state.failovers.plan.is_outdated(&hosts, revision) {
        let endpoints = &state.endpoints;
        let groups = endpoints.groups.iter().map(|(key, group)| {
            let members = endpoints.members_of(group);
            (key, &group.name, members.map(|(_, member)| &member.domain).collect())
        });
        state.failovers.plan.choose(hosts, revision, groups);
    }
    record_uses(state, now);
    let keys: Vec<_> = state.endpoints.groups.keys().collect();
    for key in keys {
        let needs_probes = needs_probes(state, now, key);
        match state.endpoints.groups[key].is_probed {
            true if !needs_probes => stop_probing(state, key),
            false if needs_probes => start_probing(state, key),
            _ => {}
        }
    }
}

fn needs_probes(state: &HostState, now: Instant, key: GroupKey) -> bool {
    let used_at = state.endpoints.groups[key].used_at;
    let is_promoting = state.failovers.watches.get(key).is_some_and(|w| w.promotion.is_some());
    is_promoting
        || state.failovers.plan.is_watcher(key, &state.profile.identity.host)
        || used_at.is_some_and(|at| now.saturating_duration_since(at) < USE_RETENTION)
}

/// Marks the groups as used on which requests are queued, running or awaiting confirmation.
fn record_uses(state: &mut HostState, now: Instant) {
    let dispatched = state.sessions.dispatches.values().map(|dispatch| dispatch.group);
    let waiting = state.queues.backlogged().into_iter().chain(state.confirms.groups());
    for key in dispatched.chain(waiting) {
        if let Some(group) = state.endpoints.groups.get_mut(key) {
            group.used_at = Some(now);
        }
    }
}

/// Records a request on a group. If the group was not being probed, its members are probed at once.
pub(super) fn record_use(
    state: &mut HostState,
    now: Instant,
    key: GroupKey,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(group) = state.endpoints.groups.get_mut(key) else { return };
    group.used_at = Some(now);
    if !group.is_probed {
        let members = group.members.clone();
        start_probing(state, key);
        members.into_iter().for_each(|member| probe::send(state, now, member, outputs));
    }
}

fn start_probing(state: &mut HostState, key: GroupKey) {
    state.endpoints.groups[key].is_probed = true;
    state.endpoints.want_probes(key);
}

/// Stops probing a group. Suspicions are dropped, as after a pause of this host, and no probe
/// counts as unanswered.
fn stop_probing(state: &mut HostState, key: GroupKey) {
    state.endpoints.groups[key].is_probed = false;
    state.failovers.watches.remove(key);
    let members = state.endpoints.members.values_mut().filter(|member| member.group == key);
    for member in members {
        (member.probe.unanswered_since, member.probe.is_wanted) = (None, false);
    }
}

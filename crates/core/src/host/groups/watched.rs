//! Groups that this host probes: those it watches and those it uses.

use std::time::{Duration, Instant};

use tanagerdeal_wire::{DomainName, HostName};

use super::super::HostState;
use super::probe;
use crate::message::{GroupKey, HostOutput};

/// Time for which a group is probed after a request on it. A client that pauses for a few seconds
/// thereby finds it routable at once.
const USE_TIME: Duration = Duration::from_secs(10);

/// Chooses the watchers again after a change of the live hosts, and starts and ends probing.
pub(super) fn run(state: &mut HostState, now: Instant) {
    if !state.failovers.plan.take_due(now) {
        return;
    }
    let identity = &state.profile.identity;
    let own = |(host, domain): (&HostName, &DomainName)| (host.clone(), domain.clone());
    let mut hosts: Vec<_> = state.hosts.heard(now).map(own).collect();
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
    note_uses(state, now);
    let keys: Vec<_> = state.endpoints.groups.keys().collect();
    for key in keys {
        let is_needed = is_needed(state, now, key);
        match state.endpoints.groups[key].is_probed {
            true if !is_needed => rest(state, key),
            false if is_needed => resume(state, key),
            _ => {}
        }
    }
}

fn is_needed(state: &HostState, now: Instant, key: GroupKey) -> bool {
    let used_at = state.endpoints.groups[key].used_at;
    let is_promoting = state.failovers.watches.get(key).is_some_and(|w| w.promotion.is_some());
    is_promoting
        || state.failovers.plan.is_watcher(key, &state.profile.identity.host)
        || used_at.is_some_and(|at| now.saturating_duration_since(at) < USE_TIME)
}

/// Notes the use of groups on which requests wait, run or are confirmed.
fn note_uses(state: &mut HostState, now: Instant) {
    let dispatched = state.sessions.dispatches.values().map(|dispatch| dispatch.group);
    let waiting = state.queues.backlogged().into_iter().chain(state.confirms.groups());
    for key in dispatched.chain(waiting) {
        if let Some(group) = state.endpoints.groups.get_mut(key) {
            group.used_at = Some(now);
        }
    }
}

/// Notes a request on a group, and probes its members at once when they were not probed.
pub(super) fn note_use(
    state: &mut HostState,
    now: Instant,
    key: GroupKey,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(group) = state.endpoints.groups.get_mut(key) else { return };
    group.used_at = Some(now);
    if !group.is_probed {
        let members = group.members.clone();
        resume(state, key);
        members.into_iter().for_each(|member| probe::send(state, now, member, outputs));
    }
}

fn resume(state: &mut HostState, key: GroupKey) {
    state.endpoints.groups[key].is_probed = true;
    state.endpoints.want_probes(key);
}

/// Ends probing. Suspicions are dropped, as after a pause of this host, and no probe counts as
/// unanswered.
fn rest(state: &mut HostState, key: GroupKey) {
    state.endpoints.groups[key].is_probed = false;
    state.failovers.watches.remove(key);
    let members = state.endpoints.members.values_mut().filter(|member| member.group == key);
    for member in members {
        (member.probe.unanswered_since, member.probe.is_wanted) = (None, false);
    }
}

//! Primary/replica groups on a host: probes of members, confirmation of commits, suspicion of
//! primaries, and failover.

mod follow;
mod probe;
mod promote;
mod report;
#[cfg(test)]
mod tests;
mod watch;
mod watched;

use std::time::Instant;

use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::peer::{GroupAnnouncement, GroupSuspicion};
use tanagerdeal_wire::{DomainName, GroupName, HostName};

use super::HostState;
use crate::failover::PeerView;
use crate::message::fleet::{GroupReport, MemberEvent};
use crate::message::{GroupKey, HostOutput};
use crate::routing::{GroupState, RouteSettings};

pub(super) fn handle_member(
    state: &mut HostState,
    now: Instant,
    event: MemberEvent,
    outputs: &mut Vec<HostOutput>,
) {
    watch::handle_gap(state, now);
    match event {
        MemberEvent::Answered { endpoint, asked_at, status } => {
            if let Some(member) = state.endpoints.members.get_mut(endpoint) {
                member.probe.succeed(asked_at);
                state.endpoints.observe(now, endpoint, asked_at, status);
            }
        }
        MemberEvent::Unreachable { endpoint, asked_at } => {
            if let Some(member) = state.endpoints.members.get_mut(endpoint) {
                member.probe.fail(asked_at);
            }
        }
        MemberEvent::Commanded { endpoint, command, reply: Some(reply) } => {
            promote::handle_reply(state, now, endpoint, command, reply, outputs);
        }
        // The promotion that sent the command retries it.
        MemberEvent::Commanded { reply: None, .. } => {}
    }
}

pub(super) fn run_systems(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let view = |state: &_, group: &_, term| peer_view(state, now, group, term);
    run_with(state, now, view, outputs);
}

/// Runs the systems with the given view of the other hosts; tests supply
/// their own.
fn run_with(
    state: &mut HostState,
    now: Instant,
    view: impl Fn(&HostState, &GroupName, u64) -> PeerView,
    outputs: &mut Vec<HostOutput>,
) {
    watch::handle_gap(state, now);
    watched::run(state, now);
    probe::send_periodic(state, now, outputs);
    watch::run(state, now, view, outputs);
    settle_waits(state, now, outputs);
}

/// Completes the waits for confirmation that can be decided, and sends the probes that the
/// remaining ones need.
pub(super) fn settle_waits(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    for group in state.confirms.groups() {
        state.confirms.settle(now, &mut state.endpoints, group);
        probe::send_needed(state, now, group, outputs);
    }
}

/// Records a request on a group. If the group was not being probed, its members are probed at once.
pub(super) fn note_use(
    state: &mut HostState,
    now: Instant,
    group: GroupKey,
    outputs: &mut Vec<HostOutput>,
) {
    watched::record_use(state, now, group, outputs);
}

/// Applies the services, failure domain phases and endpoint phases of a changed catalog.
pub(super) fn adopt_catalog(state: &mut HostState, now: Instant) {
    let HostState { catalog, endpoints, profile, .. } = state;
    endpoints.adopt_settings(RouteSettings::new(profile));
    endpoints.adopt_services(catalog.services());
    endpoints.adopt_phases(
        now,
        |domain| catalog.domain_phase(domain),
        |endpoint| catalog.endpoint_phase(endpoint),
    );
}

/// This host's suspicions, as sent to other hosts.
pub(super) fn suspicions(state: &HostState, _now: Instant) -> Vec<GroupSuspicion> {
    let to_suspicion = |(key, group): (GroupKey, &GroupState)| {
        let term = state.failovers.suspected_term(key)?;
        Some(GroupSuspicion { group: group.name.clone(), term })
    };
    state.endpoints.groups.iter().filter_map(to_suspicion).collect()
}

/// The live hosts, and those that suspect the primary of a group in the given term.
fn peer_view(state: &HostState, now: Instant, group: &GroupName, term: u64) -> PeerView {
    let owned = |(host, domain): (&HostName, &DomainName)| (host.clone(), domain.clone());
    PeerView {
        hosts: state.hosts.heard(now).map(owned).collect(),
        suspects: state.hosts.suspicions(now, group, term).map(owned).collect(),
    }
}

/// The primaries known to this host, as sent to other hosts.
pub(super) fn announcements(state: &HostState) -> Vec<GroupAnnouncement> {
    let to_announcement = |group: &GroupState| {
        let primary = state.endpoints.address(group.primary?)?.name.clone();
        Some(GroupAnnouncement { group: group.name.clone(), primary, start: group.term_start() })
    };
    state.endpoints.groups.values().filter_map(to_announcement).collect()
}

/// Applies another host's announcements of primaries. Announcements of older terms are ignored.
pub(super) fn adopt_announcements(state: &mut HostState, now: Instant, list: &[GroupAnnouncement]) {
    for announcement in list {
        let LogPosition { term, .. } = announcement.start;
        let primary = state.endpoints.member_named(&announcement.primary);
        let Some(key) = state.endpoints.group(&announcement.group) else { continue };
        let group = &mut state.endpoints.groups[key];
        let primary = primary.filter(|primary| group.members.contains(primary));
        let is_newer = term > group.term || (term == group.term && group.primary.is_none());
        if is_newer && primary.is_some() {
            group.set_primary(now, term, primary);
            if state.endpoints.groups[key].is_probed {
                state.endpoints.want_probes(key);
            }
        }
    }
}

/// The state of all groups for the status page.
pub(super) fn reports(state: &HostState, now: Instant) -> Vec<GroupReport> {
    report::all(state, now)
}

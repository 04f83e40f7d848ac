//! The state of groups for the status page.

use std::time::Instant;

use tanagerdeal_wire::member::MemberRole;
use tanagerdeal_wire::peer::ShareResource;

use super::super::HostState;
use crate::message::fleet::{GroupReport, MemberReport};
use crate::routing::{GroupState, MemberState};

/// Reports all groups with their members.
pub(super) fn all(state: &HostState, now: Instant) -> Vec<GroupReport> {
    let report = |group: &GroupState| GroupReport {
        group: group.name.to_string(),
        term: group.term,
        primary: group
            .primary
            .and_then(|key| state.endpoints.address(key))
            .map(|address| address.name.to_string()),
        members: state
            .endpoints
            .members_of(group)
            .map(|(_, member)| report_member(state, now, member))
            .collect(),
    };
    state.endpoints.groups.values().map(report).collect()
}

fn report_member(state: &HostState, now: Instant, member: &MemberState) -> MemberReport {
    let mut text = match member.status().map(|status| status.role) {
        _ if member.is_unreachable(now, state.profile.timing.suspect_after) => "unreachable",
        Some(MemberRole::Primary) => "primary",
        Some(MemberRole::Replica) => "replica",
        Some(MemberRole::Fenced) => "fenced",
        None => "unreachable",
    }
    .to_owned();
    match state.endpoints.is_withheld(member) {
        true if member.is_leaving => text.push_str(" leaving"),
        true => text.push_str(" out"),
        false => {}
    }
    let resource = ShareResource::EndpointConnections(member.address.name.clone());
    let connections = state.shares.held(now, &resource);
    MemberReport {
        endpoint: member.address.name.to_string(),
        state: text,
        applied: member.status().map_or(0, |status| status.applied.offset),
        in_flight: member.in_flight,
        connection_limit: u32::try_from(connections).unwrap_or(u32::MAX),
    }
}

//! Members that follow nobody, or a primary of an older term.

use std::time::{Duration, Instant};

use tanagerdeal_wire::member::{FollowRequest, MemberRole};

use super::super::HostState;
use crate::failover::{GroupWatch, PeerView, rank_among};
use crate::message::fleet::TermCommand;
use crate::message::{EndpointKey, GroupKey, HostOutput};
use crate::routing::{EndpointTable, GroupState, MemberState};

/// Time after which a command to follow is repeated.
const REPEAT_AFTER: Duration = Duration::from_millis(500);

/// Notes since when members follow the wrong primary.
pub(super) fn note_astray(
    endpoints: &EndpointTable,
    watch: &mut GroupWatch,
    now: Instant,
    group: &GroupState,
    after: Duration,
) {
    let has_primary = group
        .primary
        .and_then(|key| endpoints.members.get(key))
        .is_some_and(|member| member.is_primary_of(group.term));
    let is_astray = |key: EndpointKey, member: &MemberState| {
        has_primary
            && group.primary != Some(key)
            && !member.is_unreachable(now, after)
            && member.status().is_some_and(|status| {
                let follows = status.role == MemberRole::Replica;
                status.promised_term < group.term
                    || (status.promised_term == group.term && !follows)
            })
    };
    watch
        .astray
        .retain(|key, _| endpoints.members.get(key).is_some_and(|member| is_astray(key, member)));
    for (key, member) in endpoints.members_of(group) {
        if is_astray(key, member) && !watch.astray.contains_key(key) {
            watch.astray.insert(key, now);
        }
    }
}

/// Tells members that have been astray for as long as this host's rank demands to follow.
pub(super) fn redirect(
    state: &mut HostState,
    now: Instant,
    key: GroupKey,
    view: &PeerView,
    outputs: &mut Vec<HostOutput>,
) {
    let group = &state.endpoints.groups[key];
    let others = view.hosts.iter().map(|(host, _)| host);
    let rank = rank_among(&group.name, &state.profile.identity.host, others);
    let wait = state.profile.timing.promote_step * rank;
    let watch = state.failovers.watch(key);
    let mut due = Vec::new();
    for (member, since) in &mut watch.astray {
        if now >= *since + wait {
            // Repeated at intervals, with the rank's delay already served.
            *since = now + REPEAT_AFTER - wait.min(REPEAT_AFTER);
            due.push(member);
        }
    }
    due.into_iter().for_each(|member| command(state, key, member, outputs));
}

/// Tells a member to follow the group's primary.
pub(super) fn command(
    state: &HostState,
    key: GroupKey,
    endpoint: EndpointKey,
    outputs: &mut Vec<HostOutput>,
) {
    let Some(group) = state.endpoints.groups.get(key) else { return };
    let primary = group.primary.and_then(|key| state.endpoints.members.get(key));
    let (Some(primary), Some(member)) = (primary, state.endpoints.members.get(endpoint)) else {
        return;
    };
    let request = FollowRequest {
        term: group.term,
        primary: primary.address.name.clone(),
        primary_api: primary.api_address.clone(),
    };
    outputs.push(HostOutput::CommandMember {
        endpoint,
        api_address: member.api_address.clone(),
        command: TermCommand::Follow(request),
    });
}

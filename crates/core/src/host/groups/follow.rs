//! Stale members: those that follow no primary, or the primary of an older term.

use std::time::{Duration, Instant};

use tanagerdeal_wire::member::{FollowRequest, MemberRole};

use super::super::HostState;
use crate::failover::{GroupWatch, PeerView, rank_among};
use crate::message::fleet::TermCommand;
use crate::message::{EndpointKey, GroupKey, HostOutput};
use crate::routing::{EndpointTable, GroupState, MemberState};

/// Interval at which the command to follow is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Updates the stale members of a group and the time at which each was first seen as such.
pub(super) fn update_stale_members(
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
    let is_stale = |key: EndpointKey, member: &MemberState| {
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
        .stale_members
        .retain(|key, _| endpoints.members.get(key).is_some_and(|member| is_stale(key, member)));
    for (key, member) in endpoints.members_of(group) {
        if is_stale(key, member) && !watch.stale_members.contains_key(key) {
            watch.stale_members.insert(key, now);
        }
    }
}

/// Commands stale members to follow the group's primary, after a delay that grows with this host's
/// rank.
pub(super) fn redirect_stale_members(
    state: &mut HostState,
    now: Instant,
    key: GroupKey,
    view: &PeerView,
    outputs: &mut Vec<HostOutput>,
) {
    let group = &state.endpoints.groups[key];
    let others = view.hosts.iter().map(|(host, _)| host);
    let rank = rank_among(&group.name, &state.profile.identity.host, others);
    let delay = state.profile.timing.promote_step * rank;
    let watch = state.failovers.watch(key);
    let mut due = Vec::new();
    for (member, since) in &mut watch.stale_members {
        if now >= *since + delay {
            // The rank's delay is not added to the retry interval; the longer of the two applies.
            *since = now + RETRY_INTERVAL - delay.min(RETRY_INTERVAL);
            due.push(member);
        }
    }
    due.into_iter().for_each(|member| send_follow(state, key, member, outputs));
}

/// Commands a member to follow the group's primary.
pub(super) fn send_follow(
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

//! Probes of members: periodic ones, and those that confirmations wait for.

use std::time::{Duration, Instant};

use super::super::HostState;
use crate::confirm::ProbeNeed;
use crate::message::{EndpointKey, GroupKey, HostOutput};
use crate::routing::MemberState;

/// Shortest time between a failed probe and one that a confirmation needs; keeps a member that
/// refuses connections from being probed in a loop.
const FAILURE_REST: Duration = Duration::from_millis(20);

/// Sends the probes that are due by time.
pub(super) fn send_periodic(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let interval = state.profile.timing.probe_interval;
    let is_due = |member: &MemberState| {
        let sent_at = member.probe.sent_at;
        // Repeated sooner while unanswered, so that lost packets alone seldom make it silent.
        let is_late =
            member.probe.unanswered_since.is_some_and(|since| now >= since + interval / 2);
        let rest = if is_late { interval / 2 } else { interval };
        let has_passed = sent_at.is_none_or(|sent_at| now >= sent_at + rest);
        let is_doubted = member.is_in_doubt() && sent_at < member.lost_at;
        let is_probed = || state.endpoints.groups.get(member.group).is_some_and(|g| g.is_probed);
        (has_passed || is_doubted || member.probe.is_wanted) && is_probed()
    };
    let due = state.endpoints.members.iter().filter(|(_, member)| is_due(member));
    let due: Vec<_> = due.map(|(key, _)| key).collect();
    due.into_iter().for_each(|key| send(state, now, key, outputs));
}

/// Sends the probes that the waits of a group need.
pub(super) fn send_needed(
    state: &mut HostState,
    now: Instant,
    key: GroupKey,
    outputs: &mut Vec<HostOutput>,
) {
    let need = state.confirms.need(now, &state.endpoints, key);
    let Some(group) = state.endpoints.groups.get(key) else { return };
    let is_needed = |member: &MemberState| {
        let probe = &member.probe;
        let has_rested = |rest| probe.sent_at.is_none_or(|sent_at| now >= sent_at + rest);
        match need {
            ProbeNeed::Nothing => false,
            _ if probe.is_open || (probe.has_failed && !has_rested(FAILURE_REST)) => false,
            ProbeNeed::Progress(rest) => has_rested(rest),
            ProbeNeed::Since(since) => probe.sent_at.is_none_or(|sent_at| sent_at < since),
        }
    };
    let members = state.endpoints.members_of(group).filter(|(_, member)| is_needed(member));
    let members: Vec<_> = members.map(|(key, _)| key).collect();
    members.into_iter().for_each(|key| send(state, now, key, outputs));
}

/// Sends a probe to a member.
pub(super) fn send(
    state: &mut HostState,
    now: Instant,
    endpoint: EndpointKey,
    outputs: &mut Vec<HostOutput>,
) {
    if let Some(member) = state.endpoints.members.get_mut(endpoint) {
        member.probe.begin(now);
        let api_address = member.api_address.clone();
        outputs.push(HostOutput::ProbeMember { endpoint, api_address });
    }
}

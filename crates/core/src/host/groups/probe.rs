//! Probes of members: periodic probes, and those that confirmations wait for.

use std::time::{Duration, Instant};

use super::super::HostState;
use crate::confirm::ProbeNeed;
use crate::message::{EndpointKey, GroupKey, HostOutput};
use crate::routing::MemberState;

/// Minimum interval between a failed probe and the next one that a confirmation needs. Keeps a
/// member that refuses connections from being probed in a busy loop.
const FAILED_PROBE_BACKOFF: Duration = Duration::from_millis(20);

/// Sends the periodic probes that are due.
pub(super) fn send_periodic(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let interval = state.profile.timing.probe_interval;
    let is_due = |member: &MemberState| {
        let sent_at = member.probe.sent_at;
        // An unanswered probe is retried after half the interval, so that packet loss alone seldom
        // makes a member count as silent.
        let is_overdue =
            member.probe.unanswered_since.is_some_and(|since| now >= since + interval / 2);
        let wait = if is_overdue { interval / 2 } else { interval };
        let has_passed = sent_at.is_none_or(|sent_at| now >= sent_at + wait);
        let is_doubted = member.is_in_doubt() && sent_at < member.lost_at;
        let is_probed = || state.endpoints.groups.get(member.group).is_some_and(|g| g.is_probed);
        (has_passed || is_doubted || member.probe.is_wanted) && is_probed()
    };
    let due = state.endpoints.members.iter().filter(|(_, member)| is_due(member));
    let due: Vec<_> = due.map(|(key, _)| key).collect();
    due.into_iter().for_each(|key| send(state, now, key, outputs));
}

/// Sends the probes that the waits for confirmation in a group need.
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
        let has_passed = |interval| probe.sent_at.is_none_or(|sent_at| now >= sent_at + interval);
        match need {
            ProbeNeed::Nothing => false,
            _ if probe.is_open || (probe.has_failed && !has_passed(FAILED_PROBE_BACKOFF)) => false,
            ProbeNeed::Progress(interval) => has_passed(interval),
            ProbeNeed::Since(since) => probe.sent_at.is_none_or(|sent_at| sent_at < since),
        }
    };
    let members = state.endpoints.members_of(group).filter(|(_, member)| is_needed(member));
    let members: Vec<_> = members.map(|(key, _)| key).collect();
    members.into_iter().for_each(|key| send(state, now, key, outputs));
}

/// Sends a probe to a member and records it as open.
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

//! Probes, confirmations, suspicion and promotion.

use std::time::Instant;

use tanagerdeal_wire::peer::{GroupAnnouncement, GroupSuspicion};

use super::HostState;
use crate::message::HostOutput;
use crate::message::fleet::MemberEvent;

pub(super) fn handle_member(
    _state: &mut HostState,
    _now: Instant,
    _event: MemberEvent,
    _outputs: &mut Vec<HostOutput>,
) {
}

pub(super) fn run_systems(_state: &mut HostState, _now: Instant, _outputs: &mut Vec<HostOutput>) {}

/// Adopts services, failure domain states and endpoint states after a catalog change.
pub(super) fn adopt_catalog(_state: &mut HostState, _now: Instant) {}

/// This host's suspicions, for other hosts.
pub(super) fn suspicions(_state: &HostState, _now: Instant) -> Vec<GroupSuspicion> {
    Vec::new()
}

/// Primaries known to this host, for other hosts.
pub(super) fn announcements(_state: &HostState) -> Vec<GroupAnnouncement> {
    Vec::new()
}

/// Takes announcements of another host; older terms are ignored.
pub(super) fn adopt_announcements(
    _state: &mut HostState,
    _now: Instant,
    _list: &[GroupAnnouncement],
) {
}

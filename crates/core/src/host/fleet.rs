//! Catalog, membership, share views, status and shutdown.

use std::time::Instant;

use super::HostState;
use crate::message::fleet::{PeerEvent, StoreEvent};
use crate::message::{CallTag, HostOutput};

pub(super) fn handle_store(
    _state: &mut HostState,
    _now: Instant,
    _event: StoreEvent,
    _outputs: &mut Vec<HostOutput>,
) {
}

pub(super) fn handle_peer(
    _state: &mut HostState,
    _now: Instant,
    _event: PeerEvent,
    _outputs: &mut Vec<HostOutput>,
) {
}

pub(super) fn answer_status(
    _state: &mut HostState,
    _now: Instant,
    _tag: CallTag,
    _outputs: &mut Vec<HostOutput>,
) {
}

pub(super) fn shut_down(_state: &mut HostState, _now: Instant, _outputs: &mut Vec<HostOutput>) {}

pub(super) fn run_systems(_state: &mut HostState, _now: Instant, _outputs: &mut Vec<HostOutput>) {}

/// Whether requests that need a key may be served, judged by the catalog confirmation.
pub(super) fn may_serve_keyed(_state: &HostState, _now: Instant) -> bool {
    false
}

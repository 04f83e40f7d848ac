//! Sessions and requests.

use std::time::Instant;

use super::HostState;
use crate::message::caller::CallerCall;
use crate::message::{CallTag, HostOutput};

pub(super) fn handle_call(
    _state: &mut HostState,
    _now: Instant,
    _tag: CallTag,
    _call: CallerCall,
    _outputs: &mut Vec<HostOutput>,
) {
}

/// Closes sessions whose key was revoked and enforces deadlines of waiting requests.
pub(super) fn run_systems(_state: &mut HostState, _now: Instant, _outputs: &mut Vec<HostOutput>) {}

/// Places waiting requests that can run now, and answers confirmed commits.
pub(super) fn wake_waiters(_state: &mut HostState, _now: Instant, _outputs: &mut Vec<HostOutput>) {}

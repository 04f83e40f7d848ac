//! The state that this host tells others about itself, and the primaries it knows.

use std::time::{Duration, Instant};

use tanagerdeal_wire::peer::PeerState;

use super::HostState;
use crate::host::groups;
use crate::message::DrainPhase;

/// Interval between heartbeats of a relay that cannot reach the store. Other hosts need reports that
/// are at most 2 s old, and relaying takes some of that time.
const FAILING_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between comparisons of the announcements; there can be some thousand groups.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Makes a new state when something changed or a heartbeat is due, and notes new announcements.
pub(super) fn run(state: &mut HostState, now: Instant) {
    publish_state(state, now);
    if state.own.announcements_due.is_some_and(|due| now < due) {
        return;
    }
    state.own.announcements_due = Some(now + ANNOUNCEMENT_INTERVAL);
    for announcement in groups::announcements(state) {
        let held = state.own.announcements.get(&announcement.group);
        if held.is_none_or(|(_, held)| *held != announcement) {
            let sequence = state.hosts.next_urgent();
            let group = announcement.group.clone();
            state.own.announcements.insert(group, (sequence, announcement));
        }
    }
}

fn publish_state(state: &mut HostState, now: Instant) {
    let fresh = current_state(state, now);
    let is_due = state.own.heartbeat_due.is_none_or(|due| now >= due);
    let is_changed = state.own.state.as_ref().is_none_or(|old| is_changed(old, &fresh));
    if !is_due && !is_changed {
        return;
    }
    let is_urgent = fresh.store_failing && super::is_relay(state);
    let interval = state.hosts.heartbeat_interval();
    let interval = if is_urgent { interval.min(FAILING_INTERVAL) } else { interval };
    state.own.heartbeat_due = Some(now + interval);
    state.own.version += 1;
    let before = state.own.state.as_ref().filter(|_| !is_changed);
    let unchanged = before.map_or(0, |old| old.unchanged + 1);
    let fresh = PeerState { version: state.own.version, unchanged, ..fresh };
    state.own.state = Some(fresh.clone());
    state.hosts.adopt_state(now, now, fresh, None);
}

fn current_state(state: &HostState, now: Instant) -> PeerState {
    let identity = &state.profile.identity;
    let reached_at = state.store.reached_at();
    let reached_ms = reached_at.map(|at| now.saturating_duration_since(at).as_millis());
    PeerState {
        host: identity.host.clone(),
        domain: identity.domain.clone(),
        incarnation: identity.incarnation,
        version: state.own.version,
        unchanged: 0,
        age_ms: 0,
        peer_address: identity.peer_address.clone(),
        leaving: state.drain.phase != DrainPhase::Serving,
        store_reached_ms: reached_ms.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
        store_failing: state.store.is_failing(now),
        view_epoch: state.base.reported.view,
        fleet_epoch: state.base.reported.fleet,
        suspicions: groups::suspicions(state, now),
    }
}

/// Whether a state differs in more than the age of the last contact with the store.
fn is_changed(old: &PeerState, fresh: &PeerState) -> bool {
    let PeerState { version, unchanged, store_reached_ms, .. } = *fresh;
    PeerState { version, unchanged, store_reached_ms, ..old.clone() } != *fresh
}

//! Reads of the change feed and the host list, and heartbeats.

use std::time::{Duration, Instant};

use rand::Rng as _;
use tanagerdeal_wire::peer::CatalogEntry;
use tanagerdeal_wire::platform::{EntryPage, HostEntry, HostList, HostPhase, TableEntry};

use super::HostState;
use crate::message::DrainPhase;
use crate::message::HostOutput;
use crate::message::fleet::{StoreEvent, StoreFault, StorePurpose, StoreRequest};
use crate::store::FeedRead;

/// Interval between reads of the host list, which lags by some seconds anyway.
const LIST_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between heartbeats of a small fleet.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Addition to the heartbeat interval per host, which bounds the heartbeats of a fleet of any size
/// at 200 a second.
const HEARTBEAT_PER_HOST: Duration = Duration::from_millis(5);

/// Pause per host known between the reads of a host that is no relay. While the store is so slow that
/// all hosts read it, a fleet of any size thereby sends at most 100 reads a second.
const FALLBACK_PER_HOST: Duration = Duration::from_millis(10);

/// Reads of the change feed that a relay has in flight at most. At the usual interval the oldest is
/// then 4 s old, and an answer that takes longer confirms nothing that keyed requests may use.
const MAX_FEED_READS: usize = 8;

/// Time for which another parent is tried before a host reads the store itself.
const FALLBACK_DELAY: Duration = Duration::from_millis(500);

/// Hands an answer of the platform to the part that asked.
pub(super) fn handle(
    state: &mut HostState,
    now: Instant,
    event: StoreEvent,
    outputs: &mut Vec<HostOutput>,
) {
    match event {
        StoreEvent::ChangesRead { after, asked_at, result } => {
            read_answered(state, now, after, asked_at, result);
            run(state, now, outputs);
        }
        StoreEvent::Transacted { purpose, asked_at, result } => {
            note_result(state, now, result.as_ref().err());
            match purpose {
                StorePurpose::Lease => super::lease::answered(state, now, asked_at, result),
                StorePurpose::View => super::maintain::answered(state, now),
                StorePurpose::Announce => {}
            }
        }
        StoreEvent::HostsListed { result } => {
            state.store.is_listing = false;
            note_result(state, now, result.as_ref().err());
            if let Ok(list) = result {
                adopt_list(state, now, &list);
            }
        }
    }
}

/// Sends the calls of the platform that are due.
pub(super) fn run(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    read_feed(state, now, outputs);
    read_list(state, now, outputs);
    send_heartbeat(state, now, outputs);
}

/// Sends a call to the platform and counts it.
pub(super) fn call(state: &mut HostState, request: StoreRequest, outputs: &mut Vec<HostOutput>) {
    state.counters.store_calls += 1;
    outputs.push(HostOutput::CallStore(request));
}

/// Tells the platform the host's current phase without waiting for the next heartbeat.
pub(super) fn hasten_heartbeat(state: &mut HostState, now: Instant) {
    state.store.heartbeat_due = Some(now);
}

fn note_result(state: &mut HostState, now: Instant, fault: Option<&StoreFault>) {
    match fault {
        None | Some(StoreFault::Conflict(_)) => state.store.note_answer(now),
        Some(StoreFault::Unavailable) => {
            state.counters.store_failures += 1;
            state.store.note_failure(now);
        }
    }
}

fn read_answered(
    state: &mut HostState,
    now: Instant,
    after: u64,
    asked_at: Instant,
    result: Result<EntryPage, StoreFault>,
) {
    state.store.end_read(after, asked_at);
    note_result(state, now, result.as_ref().err());
    let is_answered = result.is_ok();
    if let Ok(page) = result {
        apply_page(state, now, after, asked_at, page);
        super::lease::read_back(state, now, after, asked_at);
    }
    let due = next_read(state, now, asked_at, is_answered);
    state.store.feed_due = state.store.feed_due.max(Some(due));
}

/// When the change feed may be read again.
fn next_read(state: &mut HostState, now: Instant, asked_at: Instant, is_answered: bool) -> Instant {
    let base = state.profile.timing.feed_interval;
    let is_relay = super::is_relay(state);
    let hosts = u32::try_from(state.hosts.len()).unwrap_or(u32::MAX);
    let shortest = if is_relay { base } else { base.max(FALLBACK_PER_HOST.saturating_mul(hosts)) };
    if !is_answered {
        let pause = state.store.pause(base, is_relay, &mut state.random);
        return (asked_at + shortest).max(now + pause);
    }
    // Behind a slow store, relays that read in step would all confirm their catalogs at once and let
    // them age together. The random pause spreads them.
    // A relay with several reads in flight gets a confirmation in each interval anyway.
    let is_slow = !is_relay && now >= asked_at + shortest;
    let took = now.saturating_duration_since(asked_at);
    let spread = took.mul_f64(state.random.random_range(0.0..0.5));
    if is_slow { now + spread } else { asked_at + shortest }
}

fn apply_page(state: &mut HostState, now: Instant, after: u64, asked_at: Instant, page: EntryPage) {
    if page.revision < after {
        log::warn!("store: page ends at revision {} before {after}", page.revision);
        return;
    }
    let entries = page.entries.into_iter().map(to_catalog).collect();
    let page_revision = page.revision;
    super::apply_entries(state, now, entries, page_revision);
    state.catalog.confirm(asked_at);
    if after <= state.store.feed_revision {
        state.store.feed_revision = state.store.feed_revision.max(page_revision);
        state.maintain.feed_read_at = state.maintain.feed_read_at.max(Some(asked_at));
    }
}

fn to_catalog(entry: TableEntry) -> CatalogEntry {
    let value = entry.value.map(|value| value.to_string());
    CatalogEntry { key: entry.key, revision: entry.revision, value }
}

fn read_feed(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let is_due = state.store.feed_due.is_none_or(|due| now >= due);
    let is_relay = super::is_relay(state);
    if !is_due || state.store.feed.len() >= most_reads(state, is_relay) {
        return;
    }
    let read_back_from = super::lease::read_back_from(state);
    if !is_relay && read_back_from.is_none() && !is_fallback_due(state, now) {
        return;
    }
    // A relay needs all leases, which came by no other path.
    let complete = if is_relay { state.store.feed_revision } else { state.catalog.revision() };
    let after = read_back_from.unwrap_or(u64::MAX).min(complete);
    state.store.feed.push(FeedRead { after, sent_at: now });
    state.store.feed_due = Some(now + state.profile.timing.feed_interval);
    call(state, StoreRequest::ReadChanges { after }, outputs);
}

/// Number of reads of the change feed that may be in flight.
///
/// With one only, the age of a relay's confirmation reaches twice the latency of the store; with one
/// more in each interval it stays near the latency plus the interval. The first read brings the whole
/// catalog and is not repeated meanwhile, and a store that fails gets one attempt at a time.
fn most_reads(state: &HostState, is_relay: bool) -> usize {
    let has_read = state.store.feed_revision > 0;
    if is_relay && has_read && !state.store.is_backing_off() { MAX_FEED_READS } else { 1 }
}

/// Whether a host that is no relay has to read the change feed, because no parent keeps its catalog
/// fresh.
fn is_fallback_due(state: &mut HostState, now: Instant) -> bool {
    let refresh_after = state.profile.timing.refresh_after;
    let is_fresh = state
        .catalog
        .confirmed_at()
        .is_some_and(|at| now.saturating_duration_since(at) <= refresh_after);
    if is_fresh {
        state.store.fallback_at = None;
        return false;
    }
    let jitter = FALLBACK_DELAY.mul_f64(state.random.random_range(0.0..1.0));
    now >= *state.store.fallback_at.get_or_insert(now + FALLBACK_DELAY + jitter)
}

fn read_list(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let is_due = state.store.list_due.is_none_or(|due| now >= due);
    let is_reader = super::is_relay(state) || !state.hosts.has_listed();
    if state.store.is_listing || !is_due || !is_reader {
        return;
    }
    let pause = state.store.pause(LIST_INTERVAL, true, &mut state.random);
    state.store.list_due = Some(now + pause.max(LIST_INTERVAL));
    state.store.is_listing = true;
    call(state, StoreRequest::ListHosts, outputs);
}

fn adopt_list(state: &mut HostState, now: Instant, list: &HostList) {
    state.hosts.adopt_list(now, list);
}

fn send_heartbeat(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    if state.store.heartbeat_due.is_some_and(|due| now < due) {
        return;
    }
    let hosts = u32::try_from(state.hosts.len()).unwrap_or(u32::MAX);
    let interval = HEARTBEAT_INTERVAL.max(HEARTBEAT_PER_HOST.saturating_mul(hosts));
    state.store.heartbeat_due = Some(now + interval);
    let identity = &state.profile.identity;
    let is_serving = state.drain.phase == DrainPhase::Serving;
    let entry = HostEntry {
        host: identity.host.clone(),
        domain: identity.domain.clone(),
        incarnation: identity.incarnation,
        peer_address: identity.peer_address.clone(),
        admin_address: identity.admin_address.clone(),
        phase: if is_serving { HostPhase::Live } else { HostPhase::Leaving },
    };
    call(state, StoreRequest::Heartbeat(entry), outputs);
}

//! The host's own lease in the table service.

use std::time::{Duration, Instant};

use tanagerdeal_wire::platform::{RevisionCheck, TableWrite, TxnRequest};
use tanagerdeal_wire::view::{LEASE_PREFIX, LeaseRecord};

use super::HostState;
use crate::lease::LeaseWrite;
use crate::message::HostOutput;
use crate::message::fleet::{StoreFault, StorePurpose, StoreRequest};

/// Pause before a renewal that failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Sends a renewal that is due.
pub(super) fn run(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    expire(state, now);
    let lease = &state.lease;
    let is_due = lease.renew_at.is_none_or(|at| now >= at);
    let is_waiting = lease.in_flight.is_some() || lease.read_back_after.is_some();
    let is_done = lease.is_superseded || (lease.is_released && lease.release_ms.is_none());
    if is_due && !is_waiting && !is_done {
        write(state, now, outputs);
    }
}

/// Gives up the lease. Others may use the share once `hold` has passed since they saw the record.
pub(super) fn release(
    state: &mut HostState,
    now: Instant,
    hold: Duration,
    outputs: &mut Vec<HostOutput>,
) {
    let lease = &mut state.lease;
    if lease.is_established {
        lease.release_ms = Some(u64::try_from(hold.as_millis()).unwrap_or(u64::MAX));
    }
    lease.is_released = true;
    lease.valid_until = None;
    lease.renew_at = Some(now);
    run(state, now, outputs);
}

/// Handles the answer to a renewal.
pub(super) fn answered(
    state: &mut HostState,
    now: Instant,
    asked_at: Instant,
    result: Result<u64, StoreFault>,
) {
    let interval = state.profile.timing.lease_interval;
    let lease = &mut state.lease;
    let Some(write) = lease.in_flight.take() else { return };
    match result {
        Ok(revision) => {
            if write.is_release {
                lease.release_ms = None;
            }
            accepted(state, now, write.renewal, revision);
            let is_valid = state.lease.valid_until.is_some();
            state.lease.renew_at = Some(if is_valid { write.sent_at + interval } else { now });
        }
        // The write may have taken effect, or may still do so.
        Err(StoreFault::Unavailable) => {
            lease.renew_at = Some(now + RETRY_PAUSE);
            lease.read_back_after = Some(asked_at);
        }
        // The record is a former incarnation's, or a write of this one whose answer was lost.
        Err(StoreFault::Conflict(conflict)) if !lease.is_established => {
            lease.revision = conflict.revision;
            lease.renew_at = Some(now);
        }
        // The record is deleted together with the host's place in the view.
        Err(StoreFault::Conflict(conflict)) if conflict.revision == 0 => {
            lease.revision = 0;
            lease.renew_at = Some(now);
            if lease.valid_until.is_some() {
                end_generation(state, now);
            }
        }
        Err(StoreFault::Conflict(_)) => {
            lease.renew_at = Some(now);
            lease.read_back_after = Some(now);
        }
    }
}

/// Revision after which the change feed must be read to learn the outcome of a renewal.
pub(super) fn read_back_from(state: &HostState) -> Option<u64> {
    state.lease.read_back_after.map(|_| state.lease.revision)
}

/// Looks for the own lease among the entries read, after a read that was sent at an instant.
///
/// A read from a later revision than the last one known of the lease, sent before the renewal failed,
/// does not tell its outcome.
pub(super) fn read_back(state: &mut HostState, now: Instant, after: u64, asked_at: Instant) {
    let host = &state.profile.identity.host;
    let is_covered = after <= state.lease.revision;
    if is_covered && state.lease.read_back_after.is_some_and(|at| asked_at >= at) {
        state.lease.read_back_after = None;
    }
    let Some(seen) = state.catalog.lease(host) else { return };
    let (record, revision) = (seen.record.clone(), seen.revision);
    if revision <= state.lease.revision {
        return;
    }
    if record.incarnation == state.profile.identity.incarnation {
        accepted(state, now, record.renewal, revision);
    } else if state.lease.is_established {
        log::warn!("share: lease of {host} was taken by another incarnation");
        state.lease.is_superseded = true;
        state.lease.valid_until = None;
    } else {
        state.lease.revision = revision;
    }
}

/// Counts the lease from when the renewal that the store holds was sent.
///
/// A renewal whose answer comes after the lease ended does not continue it: other hosts may have
/// removed this one from the view in the meantime.
fn accepted(state: &mut HostState, now: Instant, renewal: u64, revision: u64) {
    let valid = state.profile.timing.lease_valid;
    expire(state, now);
    let lease = &mut state.lease;
    lease.revision = lease.revision.max(revision);
    lease.is_established = true;
    let sent_at = lease.unresolved.get(&renewal).copied();
    lease.unresolved.retain(|number, _| *number > renewal);
    let until = sent_at.map(|at| at + valid).filter(|until| *until > now);
    if !lease.is_released && until.is_some() {
        lease.valid_until = lease.valid_until.max(until);
    }
}

/// Ends a generation whose lease has run out.
fn expire(state: &mut HostState, now: Instant) {
    if state.lease.valid_until.is_some_and(|until| now >= until) {
        log::warn!("share: lease ran out without a renewal");
        end_generation(state, now);
    }
}

fn end_generation(state: &mut HostState, now: Instant) {
    let lease = &mut state.lease;
    lease.generation += 1;
    lease.valid_until = None;
    lease.unresolved.clear();
    lease.renew_at = Some(now);
}

fn write(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    let identity = &state.profile.identity;
    let lease = &mut state.lease;
    let released_ms = lease.release_ms;
    lease.generation = lease.generation.max(1);
    lease.renewal += 1;
    let (generation, renewal) = (lease.generation, lease.renewal);
    let record = LeaseRecord::new(identity.domain.clone(), identity.incarnation);
    let record = LeaseRecord { generation, renewal, released_ms, ..record };
    let key = format!("{LEASE_PREFIX}{}", identity.host);
    let checks = vec![RevisionCheck { key: key.clone(), revision: lease.revision }];
    let writes = vec![TableWrite { key, value: Some(record.encode()) }];
    lease.in_flight = Some(LeaseWrite { renewal, sent_at: now, is_release: released_ms.is_some() });
    lease.unresolved.insert(renewal, now);
    let txn = TxnRequest { checks, writes };
    let request = StoreRequest::Transact { purpose: StorePurpose::Lease, txn };
    super::store::call(state, request, outputs);
}

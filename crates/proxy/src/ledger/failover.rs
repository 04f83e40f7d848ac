//! Replaces primaries that are lost, are being drained, or are in a failure domain that is being
//! evacuated.

mod change;
mod confirmations;
pub(super) mod demotion;
mod promotion;
mod verification;

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use change::PrimaryChange;
use serde_json::json;
use tanagerdeal_adapter::line;
use tanagerdeal_adapter::reply::{StatusRow, decode_status};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::duty::DUTY_LEASE_MARGIN;
use tanagerdeal_core::ledger::endpoint::{EndpointKey, EndpointRole, EndpointState};
use tanagerdeal_core::ledger::failover::{CandidateStatus, HostConfirmation, UnansweredCandidate};
use tanagerdeal_core::ledger::group::{GroupEntry, PendingChange};
use tanagerdeal_core::ledger::position::HISTORY_REACH;
use tanagerdeal_core::ledger::suspicion;
use tokio::time::{sleep, timeout};

use super::connection::{ConnectionError, EndpointReply};
use super::context::{HostContext, boot_now};
use super::follow::apply_group_entry;
use super::forward;
use super::journal;
use super::lease::drain_timeout;
use super::peers::{ConfirmationPayload, PeerMessage};
use super::pool::{AcquireError, acquire};
use super::statement::note_outcome;

/// Interval between checks for primaries that must be replaced.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Delay between the start times of hosts with successive ranks in the order of a group.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a status request to an endpoint that does not reply to anything.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the status of an endpoint that replies to other requests.
const QUEUED_STATUS_LIMIT: Duration = Duration::from_millis(2_000);
/// Time after which a primary that is registered as a replica is asked for its role. A new primary
/// is published before its registration arrives.
const ROLE_REPORT_GRACE: Duration = Duration::from_millis(1_000);
/// Interval between status requests to an endpoint.
const STATUS_INTERVAL: Duration = Duration::from_millis(60);
/// Time by which a timer may fire late, after a deadline within the timeout.
const TIMER_MARGIN: Duration = Duration::from_millis(20);
/// Pause before an endpoint that refused a request for its status is asked again.
const REFUSED_STATUS_PAUSE: Duration = Duration::from_millis(20);
/// Pause before a failed change of a group is retried.
const FAILED_CHANGE_PAUSE: Duration = Duration::from_millis(1_000);
/// Absent endpoints of a group that are sent with a confirmation; more would not fit a datagram.
const MAX_SHARED_ABSENCES: usize = 6;
/// Customer name for the proxy's own connections to endpoints.
const PROXY_NAME: &str = "-";

/// Reply to one request for the status of an endpoint.
#[derive(Clone, Copy, Debug)]
enum StatusReply {
    /// The status.
    Told(StatusRow),
    /// The endpoint runs, but has no slot or connection free.
    Refused,
    /// No reply in time.
    Silent,
}

/// What is known of an endpoint after it was asked for its status.
#[derive(Clone, Debug)]
pub(super) enum StatusAnswer {
    /// It has told its status.
    Told(CandidateStatus),
    /// It has not.
    Untold(UnansweredCandidate),
}

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChangeReason {
    /// Enough hosts cannot reach it, or its registration is missing.
    Lost,
    /// It is being drained, or its failure domain is being evacuated.
    Leaving,
    /// It reports that it is a replica.
    Replaced,
    /// The store was restored, and may name a primary that was replaced.
    Unverified,
}

/// Replaces primaries as needed, until the process ends.
pub(super) async fn watch(host: Rc<HostContext>) {
    let active: Rc<RefCell<HashSet<String>>> = Rc::default();
    let mut due_since: std::collections::HashMap<String, BootInstant> = Default::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = boot_now();
        let due = due_changes(&host, now);
        due_since.retain(|group, _| due.iter().any(|(entry, _)| entry.record.group == *group));
        for (entry, reason) in due {
            let group = entry.record.group.clone();
            let since = *due_since.entry(group.clone()).or_insert(now);
            let grace = match reason {
                ChangeReason::Replaced => ROLE_REPORT_GRACE,
                ChangeReason::Lost | ChangeReason::Leaving | ChangeReason::Unverified => {
                    Duration::ZERO
                }
            };
            let start_at = since.after(grace + RANK_DELAY * rank(&host, &group));
            if now < start_at || host.is_stopping() || !active.borrow_mut().insert(group.clone()) {
                continue;
            }
            let (host, active) = (host.clone(), active.clone());
            tokio::task::spawn_local(async move {
                run_change(host, entry, reason).await;
                active.borrow_mut().remove(&group);
            });
        }
    }
}

/// Position of this host in the order of the live hosts for a group. The order differs between
/// groups.
pub(super) fn rank(host: &HostContext, group: &str) -> u32 {
    let host_state = host.state.borrow();
    let Some(clock) = host_state.lease.clock() else { return 0 };
    let now = clock.latest(boot_now());
    let names: Vec<&str> = host_state
        .hosts
        .iter()
        .filter(|entry| entry.record.until > now && !entry.record.is_leaving)
        .map(|entry| entry.record.host.as_str())
        .collect();
    tanagerdeal_core::ledger::failover::rank(group, &host.settings.host, &names)
}

/// Lowest rank of this host among the groups led by `primaries`; `u32::MAX` if there are none.
pub(super) fn lowest_rank(host: &HostContext, primaries: &[String]) -> u32 {
    let groups: Vec<String> = {
        let host_state = host.state.borrow();
        let led =
            host_state.groups.entries().filter(|entry| primaries.contains(&entry.record.primary));
        led.map(|entry| entry.record.group.clone()).collect()
    };
    groups.iter().map(|group| rank(host, group)).min().unwrap_or(u32::MAX)
}

/// Groups whose primary must be replaced now, with the reason. Empty without a valid lease.
fn due_changes(host: &HostContext, now: BootInstant) -> Vec<(GroupEntry, ChangeReason)> {
    let host_state = host.state.borrow();
    let Some(clock) = host_state.lease.clock() else { return Vec::new() };
    if !host_state.lease.is_valid(now) {
        return Vec::new();
    }
    let store_now = clock.latest(now);
    let is_lost = |primary: &str, state: &EndpointState| {
        suspicion::is_suspect(state, now)
            && suspicion::is_quorum_suspected(primary, &host_state.hosts, store_now)
    };
    let reason = |entry: &GroupEntry| {
        let record = &entry.record;
        let key = host_state.endpoints.find(&record.primary);
        let state = key.and_then(|key| host_state.endpoints.get(key));
        let is_carried_out = |mark: &PendingChange| {
            mark.holder != host.settings.host && mark.until.after(DUTY_LEASE_MARGIN) >= store_now
        };
        match (&record.change, state) {
            (Some(mark), _) if is_carried_out(mark) => None,
            _ if !host_state.groups.is_verified(&record.group) => {
                let is_due = host_state.is_verification_due(record, now);
                is_due.then_some(ChangeReason::Unverified)
            }
            // The host that started the change has not finished it.
            (Some(_), state) => {
                let is_leaving = state.is_some_and(|state| host_state.is_leaving(state));
                Some(if is_leaving { ChangeReason::Leaving } else { ChangeReason::Lost })
            }
            (None, None) => Some(ChangeReason::Lost),
            (None, Some(state)) if host_state.is_leaving(state) => Some(ChangeReason::Leaving),
            (None, Some(state)) if is_lost(&record.primary, state) => Some(ChangeReason::Lost),
            (None, Some(state)) => {
                (state.record.role == EndpointRole::Replica).then_some(ChangeReason::Replaced)
            }
        }
    };
    host_state
        .groups
        .entries()
        .filter_map(|entry| reason(entry).map(|reason| (entry.clone(), reason)))
        .collect()
}

async fn run_change(host: Rc<HostContext>, entry: GroupEntry, reason: ChangeReason) {
    if reason == ChangeReason::Replaced && !is_replica(&host, &entry.record.primary).await {
        return sleep(FAILED_CHANGE_PAUSE).await;
    }
    if reason == ChangeReason::Unverified {
        let is_verified = verification::verify_primary(&host, &entry).await;
        // Until then, a host may use a primary that this one cannot reach.
        if is_verified || host.state.borrow().has_unknown_leases(boot_now()) {
            return sleep(FAILED_CHANGE_PAUSE).await;
        }
    }
    let group = entry.record.group.clone();
    let began_at = boot_now();
    journal::event(
        "takeover",
        "began",
        json!({ "group": group, "reason": format!("{reason:?}"), "primary": entry.record.primary,
                "term": entry.record.term, "row_version": entry.version,
                "is_continued": entry.record.change.is_some(),
                "promotion": entry.record.promotion().map(|promotion| &promotion.endpoint) }),
    );
    let result = PrimaryChange::begin(host.clone(), entry, reason).await;
    let result = match result {
        Ok(mut change) => change.execute().await,
        Err(error) => Err(error),
    };
    let took_ms = boot_now().since(began_at).as_millis() as u64;
    match result {
        Ok(primary) => {
            host.metrics.changes.with_label_values(&["done"]).inc();
            let fields = json!({ "group": group, "primary": primary, "took_ms": took_ms });
            journal::event("takeover", "done", fields);
        }
        Err(error) => {
            host.metrics.changes.with_label_values(&["failed"]).inc();
            let fields = json!({ "group": group, "reason": error.to_string(), "took_ms": took_ms });
            journal::event("takeover", "failed", fields);
            sleep(FAILED_CHANGE_PAUSE).await;
        }
    }
}

/// Whether an endpoint itself reports that it is a replica; its registration may be out of date.
async fn is_replica(host: &HostContext, endpoint: &str) -> bool {
    let key = host.state.borrow().endpoints.find(endpoint);
    let Some(key) = key else { return false };
    match endpoint_status(host, key).await {
        Some(StatusAnswer::Told(status)) => status.role == EndpointRole::Replica,
        Some(StatusAnswer::Untold(_)) | None => false,
    }
}

/// Records that a host has stopped using a primary that this host is replacing.
pub(super) fn record_confirmation(
    host: &HostContext,
    group: &str,
    version: u64,
    name: &str,
    confirmation: HostConfirmation,
) {
    host.confirmations.borrow_mut().note(group, version, name, confirmation);
    host.confirmed.notify_waiters();
}

/// Applies a group row received from another host, usually marked by the host that replaces the
/// primary, and confirms it once no statement runs under an older version.
pub(super) fn confirm_group_update(host: &Rc<HostContext>, holder: SocketAddr, entry: GroupEntry) {
    apply_group_entry(host, entry.clone());
    let host = host.clone();
    tokio::task::spawn_local(async move {
        let GroupEntry { version, record } = entry;
        let limit = drain_timeout(&host, &record.primary);
        host.drain_primary(&record.group, version, limit).await;
        // The row is known from here on, so later lease extensions go only to hosts that know it
        // too. Extensions granted earlier are listed in the confirmation.
        let payload = {
            let (host_state, now) = (host.state.borrow(), boot_now());
            let granted = host_state.extensions.granted(now);
            let newest = host_state.observations(&record.group, HISTORY_REACH, now).pop();
            let absent = host_state.endpoints.absences.of_group(&record.group);
            let absent = absent.take(MAX_SHARED_ABSENCES).map(|absent| absent.share(now)).collect();
            ConfirmationPayload::new(host.incarnation, granted, newest, absent)
        };
        let name = host.settings.host.clone();
        let confirmed =
            PeerMessage::GroupUpdateConfirmed { group: record.group, version, host: name, payload };
        // The other host repeats its request if the confirmation is lost.
        host.peers.send(holder, confirmed);
    });
}

/// Requests the status of an endpoint, and again while it refuses, until the timeout. `None` if it
/// is no longer registered.
pub(super) async fn endpoint_status(host: &HostContext, key: EndpointKey) -> Option<StatusAnswer> {
    let asked_at = boot_now();
    let mut is_refused = false;
    let row = loop {
        match request_status(host, key).await {
            StatusReply::Told(row) => break Some(row),
            StatusReply::Refused => is_refused = true,
            StatusReply::Silent => break None,
        }
        if boot_now().after(REFUSED_STATUS_PAUSE) >= asked_at.after(STATUS_TIMEOUT) {
            break None;
        }
        sleep(REFUSED_STATUS_PAUSE).await;
    };
    let host_state = host.state.borrow();
    let state = host_state.endpoints.get(key)?;
    let has_successor = host_state.endpoints.has_successor(state);
    let is_running = is_refused || state.replied_at >= Some(asked_at);
    let record = &state.record;
    let status = CandidateStatus {
        id: record.id.clone(),
        domain: record.domain.clone(),
        role: row.map_or(record.role, |row| row.role),
        term: row.map_or(0, |row| row.term),
        received: row.map_or(state.position, |row| row.received),
        is_eligible: !record.is_draining
            && state.missing_since.is_none()
            && !host_state.evacuated.contains_key(&record.domain),
    };
    Some(match row {
        Some(_) => StatusAnswer::Told(status),
        None => StatusAnswer::Untold(UnansweredCandidate { status, is_running, has_successor }),
    })
}

/// Whether an endpoint answers a request for its status, be it by a refusal.
pub(super) async fn is_answering(host: &HostContext, key: EndpointKey) -> bool {
    !matches!(request_status(host, key).await, StatusReply::Silent)
}

/// Requests the status of an endpoint once.
async fn request_status(host: &HostContext, key: EndpointKey) -> StatusReply {
    let deadline = boot_now().after(STATUS_TIMEOUT);
    let acquired =
        timeout(STATUS_TIMEOUT + TIMER_MARGIN, acquire(host, key, PROXY_NAME, deadline)).await;
    let exchange = async {
        let mut borrowed = match acquired.ok()? {
            Ok(borrowed) => borrowed,
            Err(AcquireError::Exhausted) if !is_failing(host, key) => {
                return Some(StatusReply::Refused);
            }
            Err(_) => return None,
        };
        let limit = boot_now().after(QUEUED_STATUS_LIMIT);
        let status = line::status();
        let exchange = borrowed.connection().ok()?.exchange(&status, limit);
        let outcome = while_replying(host, key, exchange).await;
        let outcome = outcome.unwrap_or(Err(ConnectionError::TimedOut));
        note_outcome(host, key, PROXY_NAME, &outcome);
        let EndpointReply { state, failure, first_row, .. } = outcome.ok()?;
        // Where connections are pooled, that of a probe is closed: together, the hosts would take all
        // that the endpoint accepts.
        if !forward::is_in_effect(host, key) {
            borrowed.release_if_idle(state);
        }
        match failure {
            Some(_) => Some(StatusReply::Refused),
            None => decode_status(first_row.as_deref()?).map(StatusReply::Told),
        }
    };
    exchange.await.unwrap_or(StatusReply::Silent)
}

/// Waits for a reply as long as the endpoint replies to other requests of this host meanwhile. The
/// request may be queued there behind others. `None` if it does not.
async fn while_replying<T>(
    host: &HostContext,
    key: EndpointKey,
    reply: impl Future<Output = T>,
) -> Option<T> {
    let mut reply = std::pin::pin!(reply);
    loop {
        let checked_at = boot_now();
        if let Ok(reply) = timeout(STATUS_TIMEOUT, reply.as_mut()).await {
            return Some(reply);
        }
        let host_state = host.state.borrow();
        let replied_at = host_state.endpoints.get(key)?.replied_at;
        replied_at.filter(|at| *at >= checked_at)?;
    }
}

/// Whether the last connection attempt or statement at an endpoint failed without a reply.
fn is_failing(host: &HostContext, key: EndpointKey) -> bool {
    let host_state = host.state.borrow();
    host_state.endpoints.get(key).is_none_or(|state| state.failing_since.is_some())
}

//! Counts the customers' requests that endpoints run, and gathers the counts of a failure domain in
//! the store.

pub(super) mod report;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tanagerdeal_adapter::store::{RowName, RowPage, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::renewal::relay;
use tanagerdeal_core::ledger::statement::FailureReason;
use tanagerdeal_core::ledger::usage::{
    DomainUsage, HostUsage, OPEN_WINDOWS, UsageCounter, UsageTable, WindowClock, agreed_offset,
    domain_key,
};
use tokio::time::sleep;

use super::connection::EndpointReply;
use super::context::{HostContext, boot_now};
use super::journal;
use super::lease::WRITE_TIMEOUT;
use super::mirror::relay_address;
use super::peers::{PeerMessage, peer_address};
use super::quota::is_listed;
use super::statement::{ANONYMOUS_CUSTOMER, RunError};

/// Store table with the totals of the failure domains.
const USAGE_TABLE: &str = "usage";
/// Interval between messages to the relays. A host that is killed takes at most this much of its
/// counts along.
const SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which totals that have not changed are sent again, as a message may have been lost
/// or the relay may be a new one.
const RESEND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval at which the relay writes the totals of its failure domain.
const WRITE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval between checks whether totals have to be written.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the end of a window at which other hosts with totals of the failure domain write what
/// the relay has not. Totals are final by then, unless a request takes long.
const STANDBY_DELAY: Duration = Duration::from_millis(3_200);
/// Relays to which a host sends its totals.
const RELAYS: usize = 2;
/// Windows for which a relay keeps totals, besides the open ones.
const KEPT_WINDOWS: u64 = 2;
/// Largest size of the counts in one message, in bytes; they must fit into a datagram.
const MAX_COUNT_BYTES: usize = 1_000;
/// Attempts to write totals when the row has changed.
const WRITE_ATTEMPTS: usize = 3;

/// Counts of this host, and what it knows of other hosts.
#[derive(Default)]
pub(super) struct UsageState {
    counter: RefCell<UsageCounter>,
    table: RefCell<UsageTable>,
    clock: Cell<Option<WindowClock>>,
    /// Windows with totals that are not in the store yet.
    unwritten: RefCell<BTreeSet<u64>>,
    row_versions: RefCell<HashMap<String, u64>>,
    sent: RefCell<HashMap<u64, HostUsage>>,
}

/// Counts a request, a statement or a transaction, that is being sent to an endpoint. A guard that is dropped without an outcome
/// counts it, as the endpoint may have begun to run it.
pub(super) struct UsageGuard<'a> {
    host: &'a HostContext,
    customer: &'a str,
    window: Option<u64>,
}

impl<'a> UsageGuard<'a> {
    /// Starts to count a request that is sent now.
    pub(super) fn new(host: &'a HostContext, customer: &'a str) -> Self {
        let window = match customer {
            ANONYMOUS_CUSTOMER => None,
            _ => current_window(host),
        };
        if let Some(window) = window {
            host.usage.counter.borrow_mut().begin(window);
        }
        Self { host, customer, window }
    }

    /// Records and returns the outcome of the request.
    pub(super) fn finish(
        mut self,
        outcome: Result<EndpointReply, RunError>,
    ) -> Result<EndpointReply, RunError> {
        let has_run = match &outcome {
            Ok(reply) => !matches!(
                reply.failure,
                Some(
                    FailureReason::Busy
                        | FailureReason::Lagging
                        | FailureReason::ReadOnly
                        | FailureReason::Misrouted
                        | FailureReason::UnknownPrepared
                )
            ),
            Err(RunError::NoConnection(_) | RunError::NotSent(_)) => false,
            Err(RunError::Sent(_)) => true,
        };
        self.record(has_run);
        outcome
    }

    fn record(&mut self, has_run: bool) {
        if let Some(window) = self.window.take() {
            let customer = has_run.then_some(self.customer);
            self.host.usage.counter.borrow_mut().end(window, customer);
        }
    }
}

impl Drop for UsageGuard<'_> {
    fn drop(&mut self) {
        self.record(true);
    }
}

/// Time of day of this host minus the store's clock, in milliseconds. `None` until a reply has shown
/// the store's clock.
pub(super) fn time_offset_ms(host: &HostContext) -> Option<i64> {
    let clock = host.state.borrow().lease.clock()?;
    let now = boot_now();
    let store_ms = (clock.earliest(now).as_millis() + clock.latest(now).as_millis()) / 2;
    let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    i64::try_from(time_of_day.as_millis()).ok()?.checked_sub(i64::try_from(store_ms).ok()?)
}

/// The window in which the present instant lies.
fn current_window(host: &HostContext) -> Option<u64> {
    let window_clock = host.usage.clock.get()?;
    let clock = host.state.borrow().lease.clock()?;
    Some(window_clock.window_at(clock.earliest(boot_now())))
}

fn update_clock(host: &HostContext, window: Duration) {
    let agreed = {
        let state = host.state.borrow();
        agreed_offset(&state.hosts, state.hosts_read_at)
    };
    let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX).max(1);
    let offset_ms = agreed.or_else(|| time_offset_ms(host));
    host.usage.clock.set(offset_ms.map(|offset_ms| WindowClock { offset_ms, window_ms }));
}

/// Sends the totals of this host to the relays until the process ends.
pub(super) async fn send_totals(host: Rc<HostContext>, window: Duration) {
    let mut resend_at = boot_now();
    loop {
        update_clock(&host, window);
        let is_resend = boot_now() >= resend_at;
        if is_resend {
            resend_at = boot_now().after(RESEND_INTERVAL);
        }
        send_open_windows(&host, is_resend);
        sleep(SEND_INTERVAL).await;
    }
}

/// Sends the totals that have changed since they were last sent, or all of the open windows.
pub(super) fn send_open_windows(host: &HostContext, is_resend: bool) {
    let Some(current) = current_window(host) else { return };
    let oldest = current.saturating_sub(OPEN_WINDOWS);
    host.usage.counter.borrow_mut().forget_before(oldest);
    let kept = oldest.saturating_sub(KEPT_WINDOWS);
    host.usage.table.borrow_mut().forget_before(kept);
    host.usage.unwritten.borrow_mut().retain(|window| *window >= kept);
    host.usage.sent.borrow_mut().retain(|window, _| *window >= oldest);
    let relays = relays(host);
    for window in oldest..=current {
        let (name, incarnation) = (&host.settings.host, host.incarnation);
        let usage = host.usage.counter.borrow().usage(name, incarnation, window, current);
        let is_changed = host.usage.sent.borrow().get(&window) != Some(&usage);
        if !is_changed && !is_resend {
            continue;
        }
        for part in usage.parts(MAX_COUNT_BYTES) {
            for relay in &relays {
                match relay {
                    UsageRelay::Own => record(host, &part),
                    // A lost message is made up for by the next one.
                    UsageRelay::Peer(address) => {
                        host.peers.send(*address, PeerMessage::Usage { usage: part.clone() });
                    }
                }
            }
        }
        host.usage.sent.borrow_mut().insert(window, usage);
    }
}

/// A host that gathers the totals of the failure domain.
#[derive(Clone, Copy, Debug)]
enum UsageRelay {
    /// This host.
    Own,
    /// Another host, by its address for messages.
    Peer(SocketAddr),
}

/// The relays of the failure domain; this host if there is no other. A host that is not in its own
/// list of hosts has just started and does not know the relays yet.
fn relays(host: &HostContext) -> Vec<UsageRelay> {
    let now = boot_now();
    let mut names: Vec<String> = Vec::new();
    {
        let state = host.state.borrow();
        for _ in 0..RELAYS {
            let is_skipped = |name: &str| {
                host.renewals.pending.is_unresponsive(name, now)
                    || names.iter().any(|known| known == name)
            };
            let next = relay(&state.hosts, state.hosts_read_at, &state.domain, &is_skipped);
            let Some(next) = next.map(str::to_owned) else { break };
            names.push(next);
        }
    }
    if names.is_empty() && is_listed(host) {
        return vec![UsageRelay::Own];
    }
    let to_relay = |name: &String| match *name == host.settings.host {
        true => Some(UsageRelay::Own),
        false => peer_address(host, name).map(UsageRelay::Peer),
    };
    names.iter().filter_map(to_relay).collect()
}

/// Merges totals of a host of the failure domain.
pub(super) fn record(host: &HostContext, usage: &HostUsage) {
    let Some(current) = current_window(host) else { return };
    let oldest = current.saturating_sub(OPEN_WINDOWS + KEPT_WINDOWS);
    if !(oldest..=current + 1).contains(&usage.window) {
        return journal::request(
            "usage_outdated",
            || json!({ "host": usage.host, "window": usage.window, "current": current }),
        );
    }
    if host.usage.table.borrow_mut().merge(usage) {
        host.usage.unwritten.borrow_mut().insert(usage.window);
    }
}

/// Writes the totals of the failure domain to the store until the process ends.
pub(super) async fn write_totals(host: Rc<HostContext>) {
    let mut write_at = boot_now();
    loop {
        sleep(WRITE_CHECK_INTERVAL).await;
        let Some(settled) = settled_window(&host) else { continue };
        let windows: BTreeSet<u64> = match relay_address(&host) {
            None if boot_now() >= write_at => host.usage.unwritten.borrow().clone(),
            None => continue,
            Some(_) => host.usage.unwritten.borrow().range(..=settled).copied().collect(),
        };
        host.usage.unwritten.borrow_mut().retain(|window| !windows.contains(window));
        write_at = boot_now().after(WRITE_INTERVAL);
        if !windows.is_empty() && !write_windows(&host, &windows).await {
            host.usage.unwritten.borrow_mut().extend(windows);
            host.wait_for_store().await;
        }
    }
}

/// The last window that ended `STANDBY_DELAY` ago.
fn settled_window(host: &HostContext) -> Option<u64> {
    let window_clock = host.usage.clock.get()?;
    let clock = host.state.borrow().lease.clock()?;
    let then = clock.earliest(boot_now()).before(STANDBY_DELAY);
    window_clock.window_at(then).checked_sub(1)
}

/// Merges the totals of some windows into their rows. Returns whether the rows hold them.
async fn write_windows(host: &HostContext, windows: &BTreeSet<u64>) -> bool {
    let mut rows: BTreeMap<String, DomainUsage> = BTreeMap::new();
    for window in windows {
        let row = host.usage.table.borrow().row(*window);
        rows.insert(domain_key(&host.settings.domain, *window), row);
    }
    for _ in 0..WRITE_ATTEMPTS {
        let mut transaction = RowTransaction::default();
        for (key, row) in &rows {
            let Some(value) = encode_row(row) else { return false };
            let name = RowName { table: USAGE_TABLE, key };
            let version = host.usage.row_versions.borrow().get(key).copied().unwrap_or(0);
            transaction.expected.push((name, version));
            transaction.writes.push((name, value));
        }
        let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
        host.record_store_call("usage", &result);
        match result {
            Ok(TransactionOutcome::Applied { version, .. }) => {
                let mut versions = host.usage.row_versions.borrow_mut();
                rows.into_keys().for_each(|key| {
                    versions.insert(key, version);
                });
                return true;
            }
            Ok(TransactionOutcome::Conflict(page)) => merge_conflict(host, &mut rows, &page),
            Err(_) => return false,
        }
        if rows.is_empty() {
            return true;
        }
    }
    false
}

/// Merges the rows that another relay has written. Rows that then hold all totals, or belong to a
/// later window, need not be written.
fn merge_conflict(host: &HostContext, rows: &mut BTreeMap<String, DomainUsage>, page: &RowPage) {
    rows.retain(|key, row| {
        let stored = page.rows.iter().find(|stored| stored.key == *key);
        let version = stored.map_or(0, |stored| stored.version);
        host.usage.row_versions.borrow_mut().insert(key.clone(), version);
        let known = stored.and_then(|stored| stored.value.as_deref()).and_then(decode_row);
        match known {
            Some(known) if known.window > row.window => false,
            Some(known) if known.window == row.window => {
                merge_row(&mut host.usage.table.borrow_mut(), &known);
                *row = host.usage.table.borrow().row(row.window);
                *row != known
            }
            _ => true,
        }
    });
}

/// Merges a row; one that is inconsistent is logged.
fn merge_row(table: &mut UsageTable, row: &DomainUsage) {
    if let Err(error) = table.merge_row(row) {
        let fields = json!({ "window": row.window, "reason": error.to_string() });
        journal::event("usage", "unreadable", fields);
    }
}

fn encode_row(row: &DomainUsage) -> Option<Vec<u8>> {
    let encoded = postcard::to_stdvec(row);
    let log = |error: &postcard::Error| {
        journal::event("usage", "not_encoded", json!({ "reason": error.to_string() }));
    };
    encoded.inspect_err(log).ok()
}

fn decode_row(value: &[u8]) -> Option<DomainUsage> {
    let decoded = postcard::from_bytes(value);
    let log = |error: &postcard::Error| {
        journal::event("usage", "unreadable", json!({ "reason": error.to_string() }));
    };
    decoded.inspect_err(log).ok()
}

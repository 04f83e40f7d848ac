//! Adapts a host's quota shares to demand, and keeps its lists of hosts and groups current.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::store::{RowName, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::quota::ShareChange;
use tanagerdeal_core::ledger::renewal::MAX_ENTRIES;
use tanagerdeal_core::ledger::state::{HostState, share_hosts};
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::follow::{HOST_TABLE, SHARE_TABLE, apply_row, encode, reapply_known};
use super::journal;
use super::lease::{WRITE_TIMEOUT, create_groups};
use super::mirror::{self, MirrorRead};
use super::pool;

/// Interval between checks of the shares.
const SHARE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between reads of the host table, for a host that gets no newer list from a relay.
const HOST_READ_INTERVAL: Duration = Duration::from_millis(8_000);
/// The same interval until this host finds itself in the list.
const UNLISTED_HOST_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between reads of all shares. A change that conflicts with a newer row learns of it
/// anyway.
const SHARE_READ_INTERVAL: Duration = Duration::from_millis(20_000);
/// First interval between reads of all shares while this host is a home of a customer and holds too
/// small a share of its rate. It doubles with each read, as customers with a large demand leave
/// their homes little by design.
const STARVED_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Accepted age of rows from a relay. Less than the interval between checks of the shares, and
/// enough that hosts asking at about the same time share one store call.
const MAX_ROW_AGE: Duration = Duration::from_millis(200);
/// Time after the first lease in which a started host waits for the shares of all customers. The
/// first host of a fleet creates them about 1 s after it has a lease.
const FIRST_SHARE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after the end of a host's lease before its shares are taken. It covers the uncertainty of
/// the store's clock.
const LEASE_END_MARGIN: Duration = Duration::from_millis(1_000);

/// Result of an attempt to change shares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ShareResult {
    /// Nothing was due, the changes were written, or the store did not reply.
    Done,
    /// Rows had changed, and the current ones were applied.
    Conflict,
}

/// Adapts the shares to demand and refreshes the lists of hosts and groups until the process ends.
pub(super) async fn maintain_shares(host: Rc<HostContext>) {
    // Shares and hosts were read during start-up. Hosts that started at the same time, and this
    // host, were missing from that list, so it is read again soon.
    let mut create_groups_at = boot_now();
    let (mut share_read_at, mut starved_check_at) =
        (boot_now().after(SHARE_READ_INTERVAL), boot_now());
    let mut starved_interval = STARVED_READ_INTERVAL;
    let mut era = host.era.get();
    loop {
        sleep(SHARE_CHECK_INTERVAL).await;
        let now = boot_now();
        update_readiness(&host, now);
        host.state.borrow_mut().quota.tick(now);
        trim_pools(&host, now);
        if std::mem::replace(&mut era, host.era.get()) != era {
            share_read_at = now;
        }
        if host.state.borrow_mut().quota.end_growth_hold(now) {
            refresh_table(&host, SHARE_TABLE).await;
            reapply_known(&host, SHARE_TABLE);
        }
        if now >= create_groups_at {
            create_groups_at = now.after(HOST_READ_INTERVAL);
            create_groups(&host).await;
        }
        let interval = match is_listed(&host) || host.is_stopping() {
            true => HOST_READ_INTERVAL,
            false => UNLISTED_HOST_READ_INTERVAL,
        };
        if now >= host.hosts_asked_at.get().after(interval) {
            refresh_table(&host, HOST_TABLE).await;
        }
        if now >= starved_check_at {
            starved_interval = match is_below_share(&host) || !host.has_started.get() {
                true => {
                    share_read_at = now;
                    (starved_interval * 2).min(SHARE_READ_INTERVAL)
                }
                false => STARVED_READ_INTERVAL,
            };
            starved_check_at = now.after(starved_interval);
        }
        if now >= share_read_at {
            share_read_at = now.after(SHARE_READ_INTERVAL);
            refresh_table(&host, SHARE_TABLE).await;
        }
        while change_shares(&host).await == ShareResult::Conflict {}
    }
}

fn is_below_share(host: &HostContext) -> bool {
    let state = host.state.borrow();
    state.quota.is_below_share(&state.share_hosts())
}

/// Whether this host is one of the live hosts that it knows.
pub(super) fn is_listed(host: &HostContext) -> bool {
    let state = host.state.borrow();
    state.share_hosts().iter().any(|live| live.name == state.host)
}

/// Whether the host is past its first lease and the first read of all shares. Shares that are
/// missing for long, because their homes are down, do not hold it back.
fn has_started(host: &HostContext, now: BootInstant) -> bool {
    let state = host.state.borrow();
    if host.has_started.get() || !state.lease.is_valid(now) {
        return host.has_started.get();
    }
    let share_deadline = host.share_deadline.get().unwrap_or(now.after(FIRST_SHARE_TIMEOUT));
    host.share_deadline.set(Some(share_deadline));
    host.has_started.set(state.quota.has_read_shares() || now >= share_deadline);
    host.has_started.get()
}

/// Updates whether the host holds a valid lease and whether it can serve.
pub(super) fn update_readiness(host: &HostContext, now: BootInstant) {
    let is_valid = host.state.borrow().lease.is_valid(now);
    let is_isolated = host.isolated_since.borrow().is_some();
    let is_serving = is_valid
        && has_started(host, now)
        && !is_isolated
        && !host.is_stopping()
        && host.state.borrow().catalog.is_some();
    if !is_valid && host.metrics.lease.get() == 1 {
        host.metrics.lease.set(0);
        journal::event("lease", "ended", json!({}));
    }
    if host.is_ready.replace(is_serving) != is_serving {
        journal::event(
            "ready",
            if is_serving { "on" } else { "off" },
            json!({ "lease": is_valid, "isolated": is_isolated }),
        );
    }
}

fn trim_pools(host: &HostContext, now: BootInstant) {
    let pools: Vec<_> =
        host.pools.borrow().iter().map(|(key, pool)| (*key, pool.clone())).collect();
    for (endpoint, pool) in pools {
        pool.trim(pool::budget(host, endpoint), now);
    }
}

/// Updates this host's copy of a table.
pub(super) async fn refresh_table(host: &HostContext, table: &'static str) {
    if table == HOST_TABLE {
        host.hosts_asked_at.set(boot_now());
    }
    // A failure is logged, and the next check follows soon.
    mirror::update(host, MirrorRead::now(table, "list", MAX_ROW_AGE)).await;
}

/// Writes the changes that are due. After a conflict other changes may be due at once.
async fn change_shares(host: &HostContext) -> ShareResult {
    let changes = planned_changes(host);
    if changes.is_empty() {
        return ShareResult::Done;
    }
    let host_versions: HashMap<String, u64> = {
        let state = host.state.borrow();
        state.hosts.iter().map(|entry| (entry.record.host.clone(), entry.version)).collect()
    };
    let mut transaction = RowTransaction::default();
    for change in &changes {
        let Some(value) = encode(&change.record) else { return ShareResult::Done };
        let name = RowName { table: SHARE_TABLE, key: &change.customer };
        transaction.expected.push((name, change.version));
        transaction.writes.push((name, value));
        for removed in &change.removed {
            let name = RowName { table: HOST_TABLE, key: removed };
            let version = host_versions.get(removed).copied().unwrap_or(0);
            if !transaction.expected.contains(&(name, version)) {
                transaction.expected.push((name, version));
            }
        }
    }
    let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
    host.record_store_call("share", &result);
    match result {
        Ok(TransactionOutcome::Applied { version, .. }) => {
            let now = boot_now();
            let mut state = host.state.borrow_mut();
            state.quota.note_written();
            for change in changes {
                let units = change.record.shares.get(&host.settings.host).map(|part| part.units);
                state.quota.adopt(&change.customer, version, change.record, now);
                let fields = json!({ "customer": change.customer, "units": units,
                    "removed": change.removed, "row_version": version });
                journal::event("share", "changed", fields);
            }
            ShareResult::Done
        }
        Ok(TransactionOutcome::Conflict(page)) => {
            for row in page.rows.iter().filter(|row| row.table == SHARE_TABLE) {
                apply_row(host, row);
            }
            host.state.borrow_mut().quota.retry_soon(boot_now());
            ShareResult::Conflict
        }
        Err(_) => ShareResult::Done,
    }
}

fn planned_changes(host: &HostContext) -> Vec<ShareChange> {
    let now = boot_now();
    let mut state = host.state.borrow_mut();
    if !state.lease.is_valid(now) || state.quota.is_growth_held() {
        return Vec::new();
    }
    let Some(clock) = state.lease.clock() else { return Vec::new() };
    let store_now = clock.latest(now);
    let HostState { quota, hosts, hosts_read_at, .. } = &mut *state;
    let is_ended = |name: &str| {
        let entry = hosts.iter().find(|entry| entry.record.host == name);
        // A host that is not listed may have started a moment ago, so its shares are kept.
        entry.is_some_and(|entry| entry.record.until.after(LEASE_END_MARGIN) < store_now)
    };
    let live = share_hosts(hosts, *hosts_read_at);
    let mut changes = quota.changes(now, &is_ended, &live);
    let mut entries = 0;
    changes.retain(|change| {
        entries += 2 + change.removed.len();
        entries <= MAX_ENTRIES
    });
    changes
}

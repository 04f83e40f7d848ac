//! Applies rows of the store to the host's state: the configuration, evacuations, groups, shares
//! and hosts.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde_json::json;
use tanagerdeal_adapter::operator::{CONFIG_KEY, OPERATOR_TABLE, decode_config, evacuated_domain};
use tanagerdeal_adapter::server::SERVER_TABLE;
use tanagerdeal_adapter::store::{RowPage, StoreRow};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::group::{GROUP_EPOCH_KEY, GroupEntry, GroupRecord};
use tanagerdeal_core::ledger::lease::{HostEntry, HostRecord};
use tanagerdeal_core::ledger::mirror::MirrorPage;
use tanagerdeal_core::ledger::quota::ShareRecord;
use tanagerdeal_core::ledger::version::era_of;
use tokio::time::sleep;

use super::context::{HostContext, RETRY_PAUSE, boot_now};
use super::freshness::confirm_catalog;
use super::mirror::{self, MirrorRead, to_mirror_page, to_store_row};
use super::{journal, registrations, restore};

/// Store table with the primary of each group.
pub(super) const GROUP_TABLE: &str = "groups";
/// Store table with the leases of the hosts.
pub(super) const HOST_TABLE: &str = "hosts";
/// Store table with the hosts' shares of each customer's quota.
pub(super) const SHARE_TABLE: &str = "shares";
/// Timeout of a table read.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait of a long poll at the store. If a poll hangs, the renewal of the lease still finds the
/// change, as its preconditions fail.
const STORE_POLL_WAIT: Duration = Duration::from_secs(29);
/// Wait of a long poll at a relay. It causes no store call, so it is kept short in order to detect
/// an unresponsive relay early.
const RELAY_POLL_WAIT: Duration = Duration::from_millis(1_500);

/// Encodes a row value. `None`, with a log line, if the record cannot be encoded.
pub(super) fn encode(record: &impl Serialize) -> Option<Vec<u8>> {
    match serde_json::to_vec(record) {
        Ok(value) => Some(value),
        Err(error) => {
            journal::event("store", "not_encoded", json!({ "reason": error.to_string() }));
            None
        }
    }
}

/// Reads all rows of a table and the store's clock; `None` if the store does not reply. The call is
/// counted under the purpose `call`.
pub(super) async fn read_page(host: &HostContext, table: &str, call: &str) -> Option<RowPage> {
    let sent_at = boot_now();
    let result = host.store.read(table, READ_TIMEOUT).await;
    host.record_store_call(call, &result);
    let page = result.ok()?;
    host.state.borrow_mut().lease.note_clock(sent_at, boot_now(), page.now);
    Some(page)
}

/// Reads all rows of a table; retries until the store replies.
pub(super) async fn read_table(host: &HostContext, table: &str) -> RowPage {
    loop {
        if let Some(page) = read_page(host, table, "read").await {
            return page;
        }
        // During start-up no other task would notice that the store is back, so the pause is fixed.
        sleep(RETRY_PAUSE).await;
    }
}

/// Reads a whole table from the store and applies it.
pub(super) async fn load_table(host: &HostContext, table: &str) {
    let asked_at = boot_now();
    let page = read_table(host, table).await;
    apply_store_page(host, table, &to_mirror_page(page, true), asked_at);
}

/// Keeps a table current until the process ends.
pub(super) async fn follow(host: Rc<HostContext>, table: &'static str) {
    let read = MirrorRead {
        store_wait: STORE_POLL_WAIT,
        relay_wait: RELAY_POLL_WAIT,
        ..MirrorRead::now(table, "follow", Duration::ZERO)
    };
    loop {
        if !mirror::update(&host, read).await {
            host.wait_for_store().await;
        }
    }
}

/// Applies a page of a table that was requested from the store at `asked_at`.
pub(super) fn apply_store_page(
    host: &HostContext,
    table: &str,
    page: &MirrorPage,
    asked_at: BootInstant,
) {
    apply_page(host, table, page, asked_at);
    if table == OPERATOR_TABLE {
        confirm_catalog(host, asked_at);
    }
}

/// Applies a page of a table that was requested at `asked_at`.
pub(super) fn apply_page(
    host: &HostContext,
    table: &str,
    page: &MirrorPage,
    asked_at: BootInstant,
) {
    // The relay may have seen the era before this host.
    restore::note_era(host, era_of(page.version));
    let changes = host.mirrors.apply(table, page, asked_at);
    match table {
        // The host list is replaced as a whole.
        HOST_TABLE => apply_hosts(host, host.mirrors.full_table(table)),
        _ => changes.into_iter().for_each(|row| apply_row(host, &to_store_row(table, row))),
    }
}

/// Applies all known rows of a table again, whether or not they have changed.
pub(super) fn reapply_known(host: &HostContext, table: &str) {
    let rows = host.mirrors.full_table(table).map(|page| page.rows).unwrap_or_default();
    rows.into_iter().for_each(|row| apply_row(host, &to_store_row(table, row)));
}

/// Applies one row of any table.
pub(super) fn apply_row(host: &HostContext, row: &StoreRow) {
    match (row.table.as_str(), row.key.as_str()) {
        (OPERATOR_TABLE, CONFIG_KEY) => apply_config(host, row),
        (OPERATOR_TABLE, key) => {
            if let Some(domain) = evacuated_domain(key) {
                apply_evacuation(host, domain, row.version, row.value.is_some());
            }
        }
        (SERVER_TABLE, id) => registrations::apply(host, id, row),
        (GROUP_TABLE, GROUP_EPOCH_KEY) => (),
        (GROUP_TABLE, _) => apply_group(host, row),
        (SHARE_TABLE, customer) => apply_share(host, customer, row),
        (HOST_TABLE, name) if name == host.settings.host => {
            host.versions.borrow_mut().own = row.version;
        }
        _ => (),
    }
}

fn apply_config(host: &HostContext, row: &StoreRow) {
    let Some(value) = row.value.as_deref() else { return };
    let known = host.versions.borrow().config;
    if row.version <= known {
        return;
    }
    let (catalog, problems) = match decode_config(value) {
        Ok(decoded) => decoded,
        Err(error) => {
            // Renewals still use this version as a precondition, so that an unreadable
            // configuration does not end the lease.
            host.versions.borrow_mut().config = row.version;
            return journal::event(
                "catalog",
                "unreadable",
                json!({ "row_version": row.version, "reason": error.to_string() }),
            );
        }
    };
    host.versions.borrow_mut().config = row.version;
    let now = boot_now();
    let mut host_state = host.state.borrow_mut();
    let former = host_state.catalog.as_ref().map(|catalog| catalog.version);
    if former.is_some_and(|former| former >= catalog.version) {
        return;
    }
    for customer in catalog.customers() {
        let rate = customer.rate;
        host_state.quota.set_rate(&customer.name, rate.rate_per_s, rate.burst, now);
    }
    let version = catalog.version;
    host_state.adopt_catalog(Arc::new(catalog), now);
    host.metrics.catalog.set(i64::try_from(version).unwrap_or(i64::MAX));
    let fields = json!({ "version": version, "former": former, "row_version": row.version,
                         "unreadable_entries": problems.len(), "first_problem": problems.first() });
    journal::event("catalog", "adopted", fields);
}

fn apply_evacuation(host: &HostContext, domain: &str, version: u64, is_evacuated: bool) {
    let mut versions = host.versions.borrow_mut();
    let known = versions.evacuations.entry(domain.to_owned()).or_default();
    *known = if is_evacuated { version } else { 0 };
    let mut host_state = host.state.borrow_mut();
    let was_evacuated = host_state.evacuated.contains_key(domain);
    match (was_evacuated, is_evacuated) {
        (false, true) => {
            host_state.evacuated.insert(domain.to_owned(), boot_now());
        }
        // The operator may write again what a restored store has lost.
        (true, false) if host_state.is_being_rewritten(boot_now()) => return,
        (true, false) => {
            host_state.evacuated.remove(domain);
        }
        _ => return,
    }
    journal::event(
        "domain",
        if is_evacuated { "evacuated" } else { "returned" },
        json!({ "domain": domain, "row_version": version }),
    );
}

/// Takes back evacuations that the restored store has lost, once the operator has had the time to
/// write them again.
pub(super) fn drop_lost_evacuations(host: &HostContext) {
    let mut host_state = host.state.borrow_mut();
    if host_state.is_being_rewritten(boot_now()) {
        return;
    }
    let versions = host.versions.borrow();
    let is_written =
        |domain: &str| versions.evacuations.get(domain).is_some_and(|known| *known > 0);
    host_state.evacuated.retain(|domain, _| {
        let is_written = is_written(domain);
        if !is_written {
            journal::event("domain", "returned", json!({ "domain": domain }));
        }
        is_written
    });
}

fn apply_group(host: &HostContext, row: &StoreRow) {
    let Some(value) = row.value.as_deref() else {
        // No host removes the row of a group, so a restored store has lost it.
        journal::event("group", "lost", json!({ "group": row.key, "row_version": row.version }));
        host.state.borrow_mut().note_lost_group(&row.key, row.version, boot_now());
        return host.unwritten.notify_one();
    };
    let record: GroupRecord = match serde_json::from_slice(value) {
        Ok(record) => record,
        Err(error) => {
            return journal::event(
                "group",
                "unreadable",
                json!({ "group": row.key, "reason": error.to_string() }),
            );
        }
    };
    let is_marked = record.change.is_some();
    // The host that marked the group waits for this host's renewal; no host waits for one after the
    // result.
    if apply_group_entry(host, GroupEntry { version: row.version, record }) && is_marked {
        host.renew_now.notify_one();
    }
}

/// Applies the row of a group. Returns whether it is newer than the known one.
pub(super) fn apply_group_entry(host: &HostContext, entry: GroupEntry) -> bool {
    let record = &entry.record;
    let fields = json!({ "group": record.group, "term": record.term, "primary": record.primary,
        "changing": record.change.is_some(), "token": record.change.as_ref().map(|mark| mark.token),
        "holder": record.change.as_ref().map(|mark| mark.holder.clone()),
        "promotion": record.promotion().map(|promotion| promotion.endpoint.clone()),
        "row_version": entry.version, "verified_era": record.verified_era });
    restore::note_era(host, era_of(entry.version));
    let is_newer = host.state.borrow_mut().apply_group(entry, boot_now());
    if is_newer {
        journal::event("group", "adopted", fields);
        if host.state.borrow().groups.unwritten().next().is_some() {
            host.unwritten.notify_one();
        }
    }
    is_newer
}

fn apply_share(host: &HostContext, customer: &str, row: &StoreRow) {
    let Some(value) = row.value.as_deref() else { return };
    match serde_json::from_slice::<ShareRecord>(value) {
        Ok(record) => {
            host.state.borrow_mut().quota.adopt(customer, row.version, record, boot_now());
        }
        Err(error) => journal::event(
            "share",
            "unreadable",
            json!({ "customer": customer, "reason": error.to_string() }),
        ),
    }
}

/// Applies the rows of all hosts, unless a newer list is known.
fn apply_hosts(host: &HostContext, page: Option<MirrorPage>) {
    let Some(page) = page else { return };
    let own = page.rows.iter().find(|row| row.key == host.settings.host);
    if let Some(row) = own {
        let known = host.versions.borrow().own;
        host.versions.borrow_mut().own = known.max(row.version);
    }
    let entries = page.rows.iter().filter_map(|row| {
        let value = row.value.as_deref()?;
        match serde_json::from_slice::<HostRecord>(value) {
            Ok(record) => Some(HostEntry { version: row.version, record }),
            Err(error) => {
                let fields = json!({ "host": row.key, "reason": error.to_string() });
                journal::event("host", "unreadable", fields);
                None
            }
        }
    });
    let entries: Vec<HostEntry> = entries.collect();
    let mut host_state = host.state.borrow_mut();
    if page.read_at < host_state.hosts_read_at {
        return;
    }
    let names = |entries: &[HostEntry]| -> Vec<String> {
        entries.iter().map(|entry| entry.record.host.clone()).collect()
    };
    let (former, present) = (names(&host_state.hosts), names(&entries));
    if former != present {
        journal::event("host", "list", json!({ "hosts": present, "row_version": page.version }));
    }
    (host_state.hosts, host_state.hosts_read_at) = (entries, page.read_at);
}

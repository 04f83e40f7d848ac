//! The tasks that keep a host's lease and its shares.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::operator::{CONFIG_KEY, OPERATOR_TABLE, evacuation_key};
use tanagerdeal_adapter::store::{RowName, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::book::{HostBook, share_hosts};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::EndpointRole;
use tanagerdeal_core::ledger::group::GroupRecord;
use tanagerdeal_core::ledger::lease::{HostRecord, RENEW_RETRY};
use tanagerdeal_core::ledger::quota::ShareChange;
use tokio::time::{sleep, timeout};

use super::context::{HostContext, HostPhase, boot_now};
use super::follow::{
    GROUP_TABLE, HOST_TABLE, READ_LIMIT, SHARE_TABLE, adopt_hosts, adopt_row, load_table,
    read_table,
};
use super::journal;
use super::lending;
use super::pool::connection_limits;
use super::takeover;

/// Time that a conditional write may take.
pub(super) const WRITE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time that statements on a primary have to end when it is being changed.
const LEAVE_LIMIT: Duration = Duration::from_millis(400);
/// Time between two looks at the shares.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reads of all hosts.
const HOST_INTERVAL: Duration = Duration::from_millis(8_000);
/// Time between two reads of all shares; a change that meets a newer row learns of it anyway.
const SHARES_INTERVAL: Duration = Duration::from_millis(20_000);
/// Time between two reads of all hosts while this host suspects a primary.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two log lines with the counters.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two looks at the own suspicions.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Age that a host's ended lease has before its shares are taken, for the uncertainty of the
/// store's clock.
const ENDED_MARGIN: Duration = Duration::from_millis(1_000);

/// Result of one renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RenewalResult {
    Renewed,
    /// Rows have changed and were taken over.
    Conflict,
    Failed,
}

/// Renews the lease until the process ends.
pub(super) async fn keep_lease(host: Rc<HostContext>) {
    let mut left: HashMap<String, u64> = HashMap::new();
    loop {
        leave_changed(&host, &mut left).await;
        let pause = match renew(&host).await {
            RenewalResult::Renewed => host.settings.renew_interval,
            RenewalResult::Conflict => continue,
            RenewalResult::Failed => RENEW_RETRY,
        };
        // Either the time is over or something has changed that must be reported.
        let _ = timeout(pause, host.renew.notified()).await;
    }
}

/// Waits until nothing runs under a former right to a group whose row has changed, so that the
/// renewal that follows is true for others.
async fn leave_changed(host: &HostContext, left: &mut HashMap<String, u64>) {
    let changed: Vec<(String, u64, bool)> = {
        let book = host.book.borrow();
        let suspects = book.suspects(boot_now());
        let changed = book.groups.entries().filter(|entry| {
            left.get(&entry.record.group).is_none_or(|version| *version < entry.version)
        });
        changed
            .map(|entry| {
                let is_lost = suspects.contains(&entry.record.primary);
                (entry.record.group.clone(), entry.version, is_lost)
            })
            .collect()
    };
    for (group, version, is_lost) in changed {
        let limit = if is_lost { Duration::ZERO } else { LEAVE_LIMIT };
        host.leave_primary(&group, version, limit).await;
        left.insert(group, version);
    }
}

async fn renew(host: &HostContext) -> RenewalResult {
    if host.book.borrow().lease.clock().is_none() {
        read_table(host, HOST_TABLE).await;
    }
    let sent_at = boot_now();
    let (record, expected) = renewal(host, sent_at);
    let Some(record) = record else { return RenewalResult::Failed };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let own = RowName { table: HOST_TABLE, key: &host.settings.host };
    let names = expected.iter().map(|(table, key, version)| (RowName { table, key }, *version));
    let transaction = RowTransaction { expected: names.collect(), writes: vec![(own, value)] };
    let result = host.store.transact(&transaction, WRITE_LIMIT).await;
    host.note_store("renew", &result);
    match result {
        Ok(TransactionOutcome::Applied { version, now }) => {
            host.versions.borrow_mut().own = version;
            note_renewed(host, sent_at, now).await;
            RenewalResult::Renewed
        }
        Ok(TransactionOutcome::Conflict(page)) => {
            host.book.borrow_mut().lease.note_clock(sent_at, page.now);
            adopt_conflict(host, &expected, &page.rows);
            RenewalResult::Conflict
        }
        Err(_) => RenewalResult::Failed,
    }
}

type ExpectedRow = (&'static str, String, u64);

/// The own row to write, and the rows that must be unchanged for it.
fn renewal(host: &HostContext, sent_at: BootInstant) -> (Option<HostRecord>, Vec<ExpectedRow>) {
    let (book, versions) = (host.book.borrow(), host.versions.borrow());
    let record = book.lease.stored_end(sent_at).map(|until| HostRecord {
        host: host.settings.host.clone(),
        incarnation: host.incarnation,
        domain: host.settings.domain.clone(),
        peers: host.settings.peers,
        until,
        suspects: book.suspects(sent_at),
        is_leaving: *host.phase.borrow() != HostPhase::Serving,
    });
    let mut expected = vec![
        (HOST_TABLE, host.settings.host.clone(), versions.own),
        (OPERATOR_TABLE, CONFIG_KEY.to_owned(), versions.config),
    ];
    for domain in &host.settings.domains {
        let version = versions.evacuations.get(domain).copied().unwrap_or(0);
        expected.push((OPERATOR_TABLE, evacuation_key(domain), version));
    }
    for entry in book.groups.entries() {
        expected.push((GROUP_TABLE, entry.record.group.clone(), entry.version));
    }
    (record, expected)
}

async fn note_renewed(
    host: &HostContext,
    sent_at: BootInstant,
    now: tanagerdeal_core::ledger::clock::StoreInstant,
) {
    let was_valid = {
        let mut book = host.book.borrow_mut();
        let was_valid = book.lease.is_valid(boot_now());
        if !was_valid {
            book.quota.forfeit(boot_now());
        }
        book.lease.note_clock(sent_at, now);
        was_valid
    };
    if !was_valid {
        // Others may have taken the shares of a host whose lease had ended.
        load_table(host, SHARE_TABLE).await;
        journal::event("lease", "gained", json!({ "store_ms": now.as_millis() }));
    }
    host.book.borrow_mut().lease.renewed(sent_at);
    host.metrics.lease.set(1);
}

/// Takes over the rows of a renewal whose conditions did not hold.
fn adopt_conflict(
    host: &HostContext,
    expected: &[ExpectedRow],
    rows: &[tanagerdeal_adapter::store::StoreRow],
) {
    for row in rows {
        adopt_row(host, row);
    }
    for (table, key, version) in expected {
        let is_present = rows.iter().any(|row| row.table == *table && row.key == *key);
        match (is_present, *version) {
            (true, _) | (false, 0) => (),
            (false, _) if *table == HOST_TABLE => host.versions.borrow_mut().own = 0,
            (false, version) => adopt_row(
                host,
                &tanagerdeal_adapter::store::StoreRow {
                    table: (*table).to_owned(),
                    key: key.clone(),
                    version,
                    value: None,
                },
            ),
        }
    }
}

/// Whether groups have no rows that can be created now.
pub(super) fn lacks_groups(host: &HostContext) -> bool {
    !missing_groups(host).is_empty()
}

/// Rows to create for groups that have none.
fn missing_groups(host: &HostContext) -> Vec<GroupRecord> {
    let book = host.book.borrow();
    let Some(catalog) = book.catalog.as_ref() else { return Vec::new() };
    let groups = catalog.routed_groups();
    let missing = groups.iter().filter(|group| book.groups.get(group).is_none());
    missing
        .filter_map(|group| {
            let mut primaries = book
                .endpoints
                .of_group(group)
                .filter(|(_, state)| state.record.role == EndpointRole::Primary);
            let primary = primaries.next()?.1.record.id.clone();
            let group = (*group).to_owned();
            // Two that call themselves primary leave the choice to an operator's eye.
            primaries.next().is_none().then_some(GroupRecord {
                group,
                term: 0,
                primary,
                change: None,
            })
        })
        .collect()
}

/// Creates the rows of groups that have none, naming the endpoint that says it is the primary.
pub(super) async fn create_groups(host: &HostContext) {
    let missing = missing_groups(host);
    if missing.is_empty() {
        return;
    }
    let mut transaction = RowTransaction::default();
    for record in missing.iter().take(MAX_ENTRIES / 2) {
        let name = RowName { table: GROUP_TABLE, key: &record.group };
        transaction.expected.push((name, 0));
        transaction.writes.push((name, serde_json::to_vec(record).unwrap_or_default()));
    }
    let result = host.store.transact(&transaction, WRITE_LIMIT).await;
    host.note_store("create_groups", &result);
    match result {
        Ok(TransactionOutcome::Applied { .. }) => {
            let groups: Vec<&str> = missing.iter().map(|record| record.group.as_str()).collect();
            journal::event("group", "created", json!({ "groups": groups }));
        }
        Ok(TransactionOutcome::Conflict(page)) => {
            page.rows.iter().for_each(|row| adopt_row(host, row));
        }
        Err(_) => (),
    }
}

/// Keeps the shares in line with the demand, and the lists of hosts and groups current.
pub(super) async fn keep_shares(host: Rc<HostContext>) {
    let (mut hosts_at, mut shares_at) = (boot_now(), boot_now());
    loop {
        sleep(SHARE_INTERVAL).await;
        let now = boot_now();
        note_lease(&host, now);
        host.book.borrow_mut().quota.tick(now);
        trim_pools(&host, now);
        if now >= hosts_at {
            hosts_at = now.after(HOST_INTERVAL);
            create_groups(&host).await;
            refresh(&host, HOST_TABLE).await;
        }
        if now >= shares_at {
            shares_at = now.after(SHARES_INTERVAL);
            refresh(&host, SHARE_TABLE).await;
        }
        change_shares(&host).await;
    }
}

fn note_lease(host: &HostContext, now: BootInstant) {
    let is_valid = host.book.borrow().lease.is_valid(now);
    let is_serving = is_valid && !host.is_stopping() && host.book.borrow().catalog.is_some();
    if !is_valid && host.metrics.lease.get() == 1 {
        host.metrics.lease.set(0);
        journal::event("lease", "ended", json!({}));
    }
    if host.is_ready.replace(is_serving) != is_serving {
        journal::event(
            "ready",
            if is_serving { "on" } else { "off" },
            json!({ "lease": is_valid }),
        );
    }
}

fn trim_pools(host: &HostContext, now: BootInstant) {
    let pools: Vec<_> =
        host.pools.borrow().iter().map(|(key, pool)| (*key, pool.clone())).collect();
    for (endpoint, pool) in pools {
        let (fair, _) = connection_limits(host, endpoint);
        pool.trim(fair, now);
    }
}

/// Reads a table of which the host holds a copy.
async fn refresh(host: &HostContext, table: &str) {
    let sent_at = boot_now();
    let result = host.store.read(table, READ_LIMIT).await;
    host.note_store("list", &result);
    let Ok(page) = result else { return };
    host.book.borrow_mut().lease.note_clock(sent_at, page.now);
    match table {
        HOST_TABLE => adopt_hosts(host, &page),
        _ => page.rows.iter().for_each(|row| adopt_row(host, row)),
    }
}

async fn change_shares(host: &HostContext) {
    let changes = planned_changes(host);
    if changes.is_empty() {
        return;
    }
    let host_versions: HashMap<String, u64> = {
        let book = host.book.borrow();
        book.hosts.iter().map(|entry| (entry.record.host.clone(), entry.version)).collect()
    };
    let mut transaction = RowTransaction::default();
    for change in &changes {
        let name = RowName { table: SHARE_TABLE, key: &change.customer };
        let value = serde_json::to_vec(&change.record).unwrap_or_default();
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
    let result = host.store.transact(&transaction, WRITE_LIMIT).await;
    host.note_store("share", &result);
    match result {
        Ok(TransactionOutcome::Applied { version, .. }) => {
            let now = boot_now();
            let mut book = host.book.borrow_mut();
            for change in changes {
                let units = change.record.shares.get(&host.settings.host).map(|part| part.units);
                book.quota.adopt(&change.customer, version, change.record, now);
                let fields = json!({ "customer": change.customer, "units": units,
                    "removed": change.removed, "row_version": version });
                journal::event("share", "changed", fields);
            }
        }
        Ok(TransactionOutcome::Conflict(page)) => {
            for row in page.rows.iter().filter(|row| row.table == SHARE_TABLE) {
                adopt_row(host, row);
            }
            host.book.borrow_mut().quota.retry_soon(boot_now());
        }
        Err(_) => (),
    }
}

/// Entries of one transaction at most; the store takes up to 100.
const MAX_ENTRIES: usize = 96;

fn planned_changes(host: &HostContext) -> Vec<ShareChange> {
    let now = boot_now();
    let mut book = host.book.borrow_mut();
    if !book.lease.is_valid(now) {
        return Vec::new();
    }
    let Some(clock) = book.lease.clock() else { return Vec::new() };
    let store_now = clock.latest(now);
    let HostBook { quota, hosts, hosts_read_at, .. } = &mut *book;
    let is_ended = |name: &str| {
        let entry = hosts.iter().find(|entry| entry.record.host == name);
        // A host that is not listed yet may have started a moment ago.
        entry.is_some_and(|entry| entry.record.until.after(ENDED_MARGIN) < store_now)
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

/// Asks a suspected primary for its status, unless a question is under way. A reply ends the
/// suspicion; statements are not sent to it meanwhile.
fn probe(host: &Rc<HostContext>, id: &str) {
    let key = host.book.borrow().endpoints.find(id);
    if let Some(key) = key.filter(|key| host.probes.borrow_mut().insert(*key)) {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            takeover::endpoint_status(&host, key).await;
            host.probes.borrow_mut().remove(&key);
        });
    }
}

/// Logs the counters from time to time, as successes have no lines of their own.
pub(super) async fn summarize(host: Rc<HostContext>) {
    loop {
        sleep(SUMMARY_INTERVAL).await;
        journal::event("summary", "counts", host.metrics.counts().into());
    }
}

/// Reports changes of the own suspicions at once, and reads those of others while there are any.
pub(super) async fn watch_suspicions(host: Rc<HostContext>) {
    let mut reported: Vec<String> = Vec::new();
    let mut list_at = boot_now();
    loop {
        sleep(WATCH_INTERVAL).await;
        let now = boot_now();
        let suspects = host.book.borrow().suspects(now);
        host.doubts.borrow_mut().retain(|_, until| now < *until);
        let doubted: Vec<String> = host.doubts.borrow().keys().cloned().collect();
        suspects.iter().chain(&doubted).for_each(|id| probe(&host, id));
        // What other hosts have spread already needs no further message.
        let is_news = |id: &&String| !reported.contains(*id) && !doubted.contains(*id);
        suspects.iter().filter(is_news).for_each(|id| lending::spread_doubt(&host, id));
        if suspects != reported {
            journal::event("suspicion", "changed", json!({ "primaries": suspects }));
            reported = suspects;
            host.renew.notify_one();
        }
        if !reported.is_empty() && now >= list_at {
            list_at = now.after(SUSPICION_INTERVAL);
            refresh(&host, HOST_TABLE).await;
        }
    }
}

//! The task that keeps a host's lease, and the rows of groups that have none.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::operator::{CONFIG_KEY, OPERATOR_TABLE, evacuation_key};
use tanagerdeal_adapter::store::{RowName, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::consent::ConsentQuorum;
use tanagerdeal_core::ledger::endpoint::EndpointRole;
use tanagerdeal_core::ledger::group::GroupRecord;
use tanagerdeal_core::ledger::lease::HostRecord;
use tanagerdeal_core::ledger::renewal::{MAX_DIRECT_HOSTS, MAX_ENTRIES, time_to_slot};
use tokio::time::timeout;

use super::context::{HostContext, HostPhase, boot_now};
use super::follow::{
    GROUP_TABLE, HOST_TABLE, SHARE_TABLE, adopt_known, adopt_row, encode, load_table,
};
use super::{journal, relay};

/// Time that a conditional write may take.
pub(super) const WRITE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time that statements on a primary have to end when it is being changed; none when it does not
/// reply, as they would only delay its successor.
const LEAVE_LIMIT: Duration = Duration::from_millis(400);

/// Result of one renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RenewalResult {
    Renewed,
    /// Rows have changed and were taken over, or the relay did not renew.
    Retry,
    Failed,
}

/// How a lease is renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RenewalWay {
    /// By a call of this host.
    Direct,
    /// Through the relay, unless something comes up that must be reported at once.
    Relay,
    /// Through the relay in any case.
    Batch,
}

/// Renews the lease until the process ends.
pub(super) async fn keep_lease(host: Rc<HostContext>) {
    let mut left: HashMap<String, u64> = HashMap::new();
    let mut way = RenewalWay::Direct;
    loop {
        // While statements end, rows of other groups may change.
        while leave_changed(&host, &mut left).await {}
        let result = match way {
            RenewalWay::Direct => renew(&host).await,
            way if renew_with_others(&host, way).await => RenewalResult::Renewed,
            _ => RenewalResult::Retry,
        };
        let pause = match result {
            RenewalResult::Renewed => time_to_renewal(&host),
            RenewalResult::Retry => {
                way = RenewalWay::Direct;
                continue;
            }
            RenewalResult::Failed => {
                // A lease outlasts several attempts.
                host.store_pause().await;
                Duration::ZERO
            }
        };
        // Either the time is over or something has changed that must be reported.
        let is_urgent = timeout(pause, host.renew.notified()).await.is_ok();
        way = next_way(&host, is_urgent, result);
    }
}

/// What must be reported at once does not wait for the other hosts of the failure domain, unless there
/// are so many that the store would take longer for them one by one. A host that the store does not
/// answer asks the relay, which it may answer.
fn next_way(host: &HostContext, is_urgent: bool, result: RenewalResult) -> RenewalWay {
    let is_large = host.book.borrow().live_hosts() > MAX_DIRECT_HOSTS;
    match (is_urgent, is_large) {
        (true, true) if result == RenewalResult::Renewed => RenewalWay::Batch,
        (true, _) => RenewalWay::Direct,
        (false, _) => RenewalWay::Relay,
    }
}

async fn renew_with_others(host: &HostContext, way: RenewalWay) -> bool {
    if way == RenewalWay::Batch {
        return relay::renew(host).await;
    }
    tokio::select! {
        is_renewed = relay::renew(host) => is_renewed,
        () = host.renew.notified() => false,
    }
}

fn time_to_renewal(host: &HostContext) -> Duration {
    let (book, interval) = (host.book.borrow(), host.settings.renew_interval);
    let clock = book.lease.clock();
    clock.map_or(interval, |clock| {
        time_to_slot(clock.latest(boot_now()), interval, &host.settings.domain)
    })
}

/// Time that statements have to end on a primary that is being changed.
pub(super) fn leave_limit(host: &HostContext, primary: &str) -> Duration {
    match host.book.borrow().is_suspect(primary, boot_now()) {
        true => Duration::ZERO,
        false => LEAVE_LIMIT,
    }
}

/// Waits until nothing runs under a former right to a group whose row has changed, so that the
/// renewal that follows is true for others. Returns whether there was such a group.
async fn leave_changed(host: &HostContext, left: &mut HashMap<String, u64>) -> bool {
    let changed: Vec<(String, u64, String)> = {
        let book = host.book.borrow();
        let changed = book.groups.entries().filter(|entry| {
            left.get(&entry.record.group).is_none_or(|version| *version < entry.version)
        });
        changed
            .map(|entry| (entry.record.group.clone(), entry.version, entry.record.primary.clone()))
            .collect()
    };
    let has_changed = !changed.is_empty();
    for (group, version, primary) in changed {
        host.leave_primary(&group, version, leave_limit(host, &primary)).await;
        left.insert(group, version);
    }
    has_changed
}

async fn renew(host: &HostContext) -> RenewalResult {
    if host.book.borrow().lease.clock().is_none() {
        load_table(host, HOST_TABLE).await;
    }
    let sent_at = boot_now();
    let Some(record) = renewed_record(host, sent_at) else { return RenewalResult::Failed };
    let mut expected = relied_rows(host);
    expected.push((HOST_TABLE, host.settings.host.clone(), host.versions.borrow().own));
    let Some(value) = encode(&record) else { return RenewalResult::Failed };
    let own = RowName { table: HOST_TABLE, key: &host.settings.host };
    let expected_rows = conditions(&expected).collect();
    let transaction = RowTransaction { expected: expected_rows, writes: vec![(own, value)] };
    let result = host.store.transact(&transaction, WRITE_LIMIT).await;
    host.note_store("renew", &result);
    match result {
        Ok(TransactionOutcome::Applied { version, now }) => {
            host.versions.borrow_mut().own = version;
            note_renewed(host, sent_at, now).await;
            RenewalResult::Renewed
        }
        Ok(TransactionOutcome::Conflict(page)) => {
            host.book.borrow_mut().lease.note_clock(sent_at, boot_now(), page.now);
            adopt_conflict(host, &expected, &page.rows);
            RenewalResult::Retry
        }
        Err(_) => RenewalResult::Failed,
    }
}

/// Table, key and version of a row on which a write depends.
pub(super) type ExpectedRow = (&'static str, String, u64);

/// The rows as conditions of a write.
pub(super) fn conditions(rows: &[ExpectedRow]) -> impl Iterator<Item = (RowName<'_>, u64)> {
    rows.iter().map(|(table, key, version)| (RowName { table, key }, *version))
}

/// The own row to write; nothing before a reply of the store has shown its clock.
pub(super) fn renewed_record(host: &HostContext, sent_at: BootInstant) -> Option<HostRecord> {
    let mut book = host.book.borrow_mut();
    let until = book.lease.stored_end(sent_at)?;
    let consent = ConsentQuorum::of(&book.hosts, book.hosts_read_at, &book.domain);
    book.lease.note_attempt(consent);
    Some(HostRecord {
        host: host.settings.host.clone(),
        incarnation: host.incarnation,
        domain: host.settings.domain.clone(),
        peers: host.settings.peers,
        until,
        suspects: book.suspects(sent_at),
        is_leaving: *host.phase.borrow() != HostPhase::Serving,
        link_mbps: host.settings.link_mbps,
        consent,
    })
}

/// The rows that must be unchanged for a renewal, beside the own one, in an order that is the same
/// on all hosts.
pub(super) fn relied_rows(host: &HostContext) -> Vec<ExpectedRow> {
    let (book, versions) = (host.book.borrow(), host.versions.borrow());
    let mut expected = vec![(OPERATOR_TABLE, CONFIG_KEY.to_owned(), versions.config)];
    for domain in &host.settings.domains {
        let version = versions.evacuations.get(domain).copied().unwrap_or(0);
        expected.push((OPERATOR_TABLE, evacuation_key(domain), version));
    }
    for entry in book.groups.entries() {
        expected.push((GROUP_TABLE, entry.record.group.clone(), entry.version));
    }
    expected.sort_unstable();
    expected
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
        book.lease.note_clock(sent_at, boot_now(), now);
        was_valid
    };
    if !was_valid {
        // Others may have taken the shares of a host whose lease had ended. All are taken over anew, as
        // the own ones were given up.
        load_table(host, SHARE_TABLE).await;
        adopt_known(host, SHARE_TABLE);
        journal::event("lease", "gained", json!({ "store_ms": now.as_millis() }));
    }
    host.book.borrow_mut().lease.renewed(sent_at);
    host.metrics.lease.set(1);
}

/// Takes over the rows of a renewal whose conditions did not hold.
pub(super) fn adopt_conflict(
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
        let Some(value) = encode(record) else { continue };
        let name = RowName { table: GROUP_TABLE, key: &record.group };
        transaction.expected.push((name, 0));
        transaction.writes.push((name, value));
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

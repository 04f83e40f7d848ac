//! What a host does when the store was restored from a copy.
//!
//! Rows written since the copy are gone. The versions of the new era are later than all earlier
//! ones, so every table is read anew and every row applied again. A row in the store says when the
//! era began, for processes that start later.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tanagerdeal_adapter::store::{RowName, RowPage, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
use tanagerdeal_core::ledger::group::GroupEntry;
use tanagerdeal_core::ledger::version::FIRST_ERA;
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::follow::{GROUP_TABLE, READ_TIMEOUT, apply_group_entry, encode};
use super::journal;
use super::lease::{
    ExpectedRow, MAX_WRITTEN_GROUPS, WRITE_TIMEOUT, apply_conflict, conditions, epoch_write,
};
use super::peers::FLEET_TABLE;

/// Longest random delay before a host writes when an era began, so that one does for all.
const MAX_ERA_DELAY: Duration = Duration::from_millis(1_000);
/// Time for each host of the fleet over which hosts spread their writes of groups, so that usually
/// one does for all.
const REWRITE_SPREAD: Duration = Duration::from_millis(25);
/// Hosts beyond which that time does not grow.
const MAX_REWRITE_HOSTS: usize = 60;

/// The row of an era.
#[derive(Deserialize, Serialize)]
struct EraRecord {
    /// Latest time at which the era began.
    began_at: StoreInstant,
}

/// Why the rows of groups are written.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupWrite {
    /// Purpose under which the store call is counted.
    call: &'static str,
    /// Event that is logged for each group.
    event: &'static str,
}

impl GroupWrite {
    /// The restored store lacks what this host knows.
    const REWRITE: Self = Self { call: "rewrite", event: "rewritten" };
    /// The endpoints have told which of them leads.
    pub(super) const VERIFY: Self = Self { call: "verify", event: "verified" };
}

/// Takes note of an era of the store, as a reply or a row shows it.
pub(super) fn note_era(host: &HostContext, era: u64) {
    let known = host.era.get();
    host.era.set(known.max(Some(era)));
    let Some(known) = known.filter(|known| *known < era) else { return };
    journal::event("store", "restored", json!({ "era": era, "former": known }));
    host.state.borrow_mut().note_restoration(boot_now());
    // Forces a read of the list of hosts.
    host.hosts_asked_at.set(BootInstant::from_micros(0));
    host.restored.notify_one();
    host.renew_now.notify_one();
}

/// Learns when the era of the store began, during start-up.
pub(super) async fn load_restoration(host: &HostContext) {
    if host.store.era() == FIRST_ERA {
        return;
    }
    let began_at = loop {
        match era_beginning(host).await {
            Some(began_at) => break began_at,
            None => host.wait_for_store().await,
        }
    };
    let now = boot_now();
    let mut state = host.state.borrow_mut();
    let clock = state.lease.clock();
    let age = clock.map_or(Duration::ZERO, |clock| clock.earliest(now).since(began_at));
    state.note_restoration(now.before(age));
}

/// Records the beginning of each new era in the store until the process ends.
pub(super) async fn record_eras(host: Rc<HostContext>) {
    loop {
        host.restored.notified().await;
        sleep(MAX_ERA_DELAY.mul_f64(rand::random())).await;
        while era_beginning(&host).await.is_none() {
            host.wait_for_store().await;
        }
    }
}

/// When the era of the store began at the latest; written if no host has done so. `None` without an
/// answer of the store, or when another host was faster.
async fn era_beginning(host: &HostContext) -> Option<StoreInstant> {
    let key = format!("era-{}", host.store.era());
    let page = host.store.read_prefix(FLEET_TABLE, &key, READ_TIMEOUT).await;
    host.record_store_call("era", &page);
    let RowPage { rows, now, .. } = page.ok()?;
    let row = rows.into_iter().find(|row| row.key == key);
    if let Some(value) = row.and_then(|row| row.value) {
        let record = serde_json::from_slice::<EraRecord>(&value);
        let record = record.inspect_err(|error| {
            let fields = json!({ "era": key, "reason": error.to_string() });
            journal::event("store", "unreadable_era", fields);
        });
        return Some(record.map_or(now, |record| record.began_at));
    }
    let value = encode(&EraRecord { began_at: now })?;
    let name = RowName { table: FLEET_TABLE, key: &key };
    let transaction = RowTransaction { expected: vec![(name, 0)], writes: vec![(name, value)] };
    let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
    host.record_store_call("era", &result);
    matches!(result, Ok(TransactionOutcome::Applied { .. })).then_some(now)
}

/// Writes again what this host knows of groups and the restored store lacks, until the process ends.
pub(super) async fn rewrite_groups(host: Rc<HostContext>) {
    loop {
        host.unwritten.notified().await;
        let hosts = host.state.borrow().live_hosts().min(MAX_REWRITE_HOSTS);
        // A count of hosts is far below the limit of the type.
        let spread = REWRITE_SPREAD * u32::try_from(hosts).unwrap_or(u32::MAX);
        sleep(spread.mul_f64(rand::random())).await;
        loop {
            let unwritten: Vec<GroupEntry> = {
                let state = host.state.borrow();
                state.groups.unwritten().take(MAX_WRITTEN_GROUPS).cloned().collect()
            };
            if unwritten.is_empty() {
                break;
            }
            if !write_groups(&host, GroupWrite::REWRITE, unwritten).await {
                // After a conflict, usually another host has written all.
                host.wait_for_store().await;
            }
        }
    }
}

/// Writes the rows of groups if all still have the versions of the entries, and applies the current
/// rows otherwise. Returns whether they were written.
pub(super) async fn write_groups(
    host: &HostContext,
    write: GroupWrite,
    entries: Vec<GroupEntry>,
) -> bool {
    let expected: Vec<ExpectedRow> = entries
        .iter()
        .map(|entry| (GROUP_TABLE, entry.record.group.clone(), entry.version))
        .collect();
    let mut transaction =
        RowTransaction { expected: conditions(&expected).collect(), writes: vec![epoch_write()] };
    for (name, entry) in conditions(&expected).map(|(name, _)| name).zip(&entries) {
        let Some(value) = encode(&entry.record) else { return false };
        transaction.writes.push((name, value));
    }
    let sent_at = boot_now();
    let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
    host.record_store_call(write.call, &result);
    match result {
        Ok(TransactionOutcome::Applied { version, .. }) => {
            for GroupEntry { record, .. } in entries {
                let fields = json!({ "group": record.group, "term": record.term,
                    "primary": record.primary, "row_version": version });
                journal::event("group", write.event, fields);
                apply_group_entry(host, GroupEntry { version, record });
            }
            true
        }
        Ok(TransactionOutcome::Conflict(page)) => {
            apply_conflict(host, sent_at, &expected, &page.rows).await;
            false
        }
        Err(_) => false,
    }
}

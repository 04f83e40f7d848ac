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
use super::failover;
use super::follow::{GROUP_TABLE, READ_TIMEOUT, apply_group_entry, apply_row, encode};
use super::journal;
use super::lease::{WRITE_TIMEOUT, epoch_write};
use super::peers::FLEET_TABLE;

/// Longest random delay before a host writes when an era began, so that one does for all.
const MAX_ERA_DELAY: Duration = Duration::from_millis(1_000);
/// Delay between the hosts that write the row of a group again, in the order of the group.
const REWRITE_DELAY: Duration = Duration::from_millis(200);

/// The row of an era.
#[derive(Deserialize, Serialize)]
struct EraRecord {
    /// Latest time at which the era began.
    began_at: StoreInstant,
}

/// Takes note of the era of the store's last reply.
pub(super) fn note_era(host: &HostContext) {
    let era = host.store.era();
    let Some(known) = host.era.replace(Some(era)).filter(|known| *known < era) else { return };
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

/// Writes again what this host knows of groups and the copy lacks.
pub(super) async fn rewrite_groups(host: &HostContext, now: BootInstant) {
    let unwritten: Vec<GroupEntry> = {
        let state = host.state.borrow();
        let is_due = |entry: &&GroupEntry| {
            let rank = failover::rank(host, &entry.record.group);
            !state.is_restored_within(REWRITE_DELAY * (1 + rank), now)
        };
        state.groups.unwritten().filter(is_due).cloned().collect()
    };
    for entry in unwritten {
        rewrite_group(host, entry).await;
    }
}

async fn rewrite_group(host: &HostContext, entry: GroupEntry) {
    let GroupEntry { version, record } = entry;
    let Some(value) = encode(&record) else { return };
    let name = RowName { table: GROUP_TABLE, key: &record.group };
    let transaction = RowTransaction {
        expected: vec![(name, version)],
        writes: vec![(name, value), epoch_write()],
    };
    let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
    host.record_store_call("rewrite", &result);
    match result {
        Ok(TransactionOutcome::Applied { version, .. }) => {
            journal::event(
                "group",
                "rewritten",
                json!({ "group": record.group, "term": record.term,
                "primary": record.primary, "row_version": version }),
            );
            apply_group_entry(host, GroupEntry { version, record });
        }
        Ok(TransactionOutcome::Conflict(page)) => {
            page.rows.iter().for_each(|row| apply_row(host, row));
        }
        // The next check tries again.
        Err(_) => (),
    }
}

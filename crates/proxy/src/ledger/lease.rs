//! Renews the host's lease, and creates missing group rows.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_adapter::operator::{CONFIG_KEY, OPERATOR_TABLE, evacuation_key};
use tanagerdeal_adapter::store::{RowName, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::EndpointRole;
use tanagerdeal_core::ledger::extension::ExtensionQuorum;
use tanagerdeal_core::ledger::group::{GROUP_EPOCH_KEY, GroupRecord, is_epoch_sufficient};
use tanagerdeal_core::ledger::lease::HostRecord;
use tanagerdeal_core::ledger::renewal::{
    MAX_DIRECT_HOSTS, MAX_ENTRIES, relies_on_group_rows, time_to_renewal_slot,
};
use tanagerdeal_core::ledger::version::FIRST_ERA;
use tokio::time::timeout;

use super::context::{HostContext, HostPhase, RenewalStage, boot_now};
use super::follow::{
    GROUP_TABLE, HOST_TABLE, SHARE_TABLE, apply_row, encode, load_table, reapply_known,
};
use super::freshness::confirm_catalog;
use super::mirror::{self, MirrorRead};
use super::{journal, relay, usage};

/// Timeout of a conditional write.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Most groups written in one transaction: a condition and a write each, and the epoch.
pub(super) const MAX_WRITTEN_GROUPS: usize = (MAX_ENTRIES - 1) / 2;
/// How long statements on a primary may still run while it is being replaced. They are aborted at
/// once if the primary does not reply, as waiting would only delay the failover.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(400);

/// Result of one renewal attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RenewalResult {
    Renewed,
    /// A precondition failed and the current rows were applied, or the relay did not renew.
    Retry,
    Failed,
}

/// How the lease is renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RenewalPath {
    /// By a store call of this host.
    Direct,
    /// Through the relay; an urgent change interrupts the wait.
    Relay,
    /// Through the relay, even with urgent changes.
    RelayUninterrupted,
}

/// Renews the lease until the process ends.
pub(super) async fn renew_lease(host: Rc<HostContext>) {
    let mut drained_versions: HashMap<String, u64> = HashMap::new();
    let mut path = RenewalPath::Direct;
    loop {
        host.set_renewal_stage(RenewalStage::Draining);
        // More group rows may change while statements are drained.
        while drain_changed_groups(&host, &mut drained_versions).await {}
        let result = match path {
            RenewalPath::Direct => renew(&host).await,
            path if renew_through_relay(&host, path).await => RenewalResult::Renewed,
            _ => RenewalResult::Retry,
        };
        let pause = match result {
            RenewalResult::Renewed => time_to_renewal(&host),
            RenewalResult::Retry => {
                path = RenewalPath::Direct;
                continue;
            }
            RenewalResult::Failed => {
                host.set_renewal_stage(RenewalStage::Paused);
                // The lease outlasts several failed attempts.
                host.wait_for_store().await;
                Duration::ZERO
            }
        };
        host.set_renewal_stage(RenewalStage::Waiting);
        // The wait ends when the renewal is due or an urgent change must be reported.
        let is_urgent = timeout(pause, host.renew_now.notified()).await.is_ok();
        path = next_path(&host, is_urgent, result);
    }
}

/// Chooses how to renew next. An urgent change is not held back for the renewals of the other hosts
/// of the failure domain, unless the fleet is so large that the store would need longer for single
/// renewals. Other renewals use the relay, also right after a failed store call, as the relay may
/// still reach the store.
fn next_path(host: &HostContext, is_urgent: bool, result: RenewalResult) -> RenewalPath {
    let is_large = host.state.borrow().live_hosts() > MAX_DIRECT_HOSTS;
    match (is_urgent, is_large) {
        (true, true) if result == RenewalResult::Renewed => RenewalPath::RelayUninterrupted,
        (true, _) => RenewalPath::Direct,
        (false, _) => RenewalPath::Relay,
    }
}

async fn renew_through_relay(host: &HostContext, path: RenewalPath) -> bool {
    host.set_renewal_stage(RenewalStage::AtRelay);
    if path == RenewalPath::RelayUninterrupted {
        return relay::renew(host).await;
    }
    tokio::select! {
        is_renewed = relay::renew(host) => is_renewed,
        () = host.renew_now.notified() => false,
    }
}

fn time_to_renewal(host: &HostContext) -> Duration {
    let (host_state, interval) = (host.state.borrow(), host.settings.renew_interval);
    let clock = host_state.lease.clock();
    clock.map_or(interval, |clock| {
        time_to_renewal_slot(clock.latest(boot_now()), interval, &host.settings.domain)
    })
}

/// How long statements may still run on a primary that is being replaced.
pub(super) fn drain_timeout(host: &HostContext, primary: &str) -> Duration {
    match host.state.borrow().is_suspect(primary, boot_now()) {
        true => Duration::ZERO,
        false => DRAIN_TIMEOUT,
    }
}

/// Waits until no statement runs under an older version of a changed group row. The next renewal
/// tells other hosts that this host follows the new versions, so it must come after that. Returns
/// whether any group row had changed.
async fn drain_changed_groups(
    host: &HostContext,
    drained_versions: &mut HashMap<String, u64>,
) -> bool {
    let changed: Vec<(String, u64, String)> = {
        let host_state = host.state.borrow();
        let changed = host_state.groups.entries().filter(|entry| {
            drained_versions.get(&entry.record.group).is_none_or(|version| *version < entry.version)
        });
        changed
            .map(|entry| (entry.record.group.clone(), entry.version, entry.record.primary.clone()))
            .collect()
    };
    let has_changed = !changed.is_empty();
    for (group, version, primary) in changed {
        host.drain_primary(&group, version, drain_timeout(host, &primary)).await;
        drained_versions.insert(group, version);
    }
    has_changed
}

async fn renew(host: &HostContext) -> RenewalResult {
    if host.state.borrow().lease.clock().is_none() {
        load_table(host, HOST_TABLE).await;
    }
    let sent_at = boot_now();
    let Some(record) = renewal_record(host, sent_at) else { return RenewalResult::Failed };
    let mut expected = required_rows(host);
    expected.push((HOST_TABLE, host.settings.host.clone(), host.versions.borrow().own));
    let Some(value) = encode(&record) else { return RenewalResult::Failed };
    let own = RowName { table: HOST_TABLE, key: &host.settings.host };
    let expected_rows = conditions(&expected).collect();
    let transaction = RowTransaction { expected: expected_rows, writes: vec![(own, value)] };
    host.set_renewal_stage(RenewalStage::AtStore);
    let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
    host.record_store_call("renew", &result);
    host.set_renewal_stage(RenewalStage::Reading);
    match result {
        Ok(TransactionOutcome::Applied { version, now }) => {
            host.versions.borrow_mut().own = version;
            apply_renewal(host, sent_at, now).await;
            RenewalResult::Renewed
        }
        Ok(TransactionOutcome::Conflict(page)) => {
            host.state.borrow_mut().lease.note_clock(sent_at, boot_now(), page.now);
            match apply_conflict(host, sent_at, &expected, &page.rows).await {
                true => RenewalResult::Retry,
                false => RenewalResult::Failed,
            }
        }
        Err(_) => RenewalResult::Failed,
    }
}

/// Table, key and version of a row that a write requires to be unchanged.
pub(super) type ExpectedRow = (&'static str, String, u64);

/// The rows as preconditions of a write.
pub(super) fn conditions(rows: &[ExpectedRow]) -> impl Iterator<Item = (RowName<'_>, u64)> {
    rows.iter().map(|(table, key, version)| (RowName { table, key }, *version))
}

/// The host row to write; `None` until a reply has shown the store's clock.
pub(super) fn renewal_record(host: &HostContext, sent_at: BootInstant) -> Option<HostRecord> {
    let time_offset_ms = host.settings.usage.and_then(|_| usage::time_offset_ms(host));
    let mut host_state = host.state.borrow_mut();
    let until = host_state.lease.stored_end(sent_at)?;
    let consent =
        ExtensionQuorum::of(&host_state.hosts, host_state.hosts_read_at, &host_state.domain);
    host_state.lease.note_attempt(consent);
    Some(HostRecord {
        host: host.settings.host.clone(),
        incarnation: host.incarnation,
        domain: host.settings.domain.clone(),
        peers: host.settings.peers,
        until,
        suspects: host_state.suspects(sent_at),
        is_leaving: *host.phase.borrow() != HostPhase::Serving,
        link_mbps: host.settings.link_mbps,
        consent,
        writes_epoch: true,
        time_offset_ms,
        pool: host.settings.pool_offer(),
    })
}

/// Rows that must be unchanged for a renewal, besides the host's own row. Sorted, so that the order
/// is the same on all hosts.
pub(super) fn required_rows(host: &HostContext) -> Vec<ExpectedRow> {
    let (host_state, versions) = (host.state.borrow(), host.versions.borrow());
    let read_at = host_state.hosts_read_at;
    let mut expected = vec![(OPERATOR_TABLE, CONFIG_KEY.to_owned(), versions.config)];
    for domain in &host.settings.domains {
        let version = versions.evacuations.get(domain).copied().unwrap_or(0);
        expected.push((OPERATOR_TABLE, evacuation_key(domain), version));
    }
    let leased = host_state.hosts.iter().filter(|entry| entry.record.until > read_at);
    let is_sufficient = is_epoch_sufficient(leased.map(|entry| &entry.record));
    let groups = host_state.groups.entries();
    if relies_on_group_rows(groups.clone().count(), expected.len(), is_sufficient) {
        expected.extend(groups.map(|entry| {
            let group = entry.record.group.clone();
            (GROUP_TABLE, group, entry.version)
        }));
    }
    // The version of the copy, not of a row from another host: only the copy shows that the rows of
    // the other groups are known as well.
    let epoch = host.mirrors.row_version(GROUP_TABLE, GROUP_EPOCH_KEY);
    expected.push((GROUP_TABLE, GROUP_EPOCH_KEY.to_owned(), epoch));
    expected.sort_unstable();
    expected
}

/// The write of the epoch, which goes with each write of the row of a group.
pub(super) fn epoch_write() -> (RowName<'static>, Vec<u8>) {
    // Only the version of the row matters.
    (RowName { table: GROUP_TABLE, key: GROUP_EPOCH_KEY }, b"{}".to_vec())
}

async fn apply_renewal(
    host: &HostContext,
    sent_at: BootInstant,
    now: tanagerdeal_core::ledger::clock::StoreInstant,
) {
    let was_valid = {
        let mut host_state = host.state.borrow_mut();
        let was_valid = host_state.lease.is_valid(boot_now());
        if !was_valid {
            host_state.quota.release_all(boot_now());
        }
        host_state.lease.note_clock(sent_at, boot_now(), now);
        was_valid
    };
    if !was_valid {
        // Once the lease has ended, other hosts may take this host's quota shares. The local shares
        // were forfeited, so all are reloaded.
        load_table(host, SHARE_TABLE).await;
        reapply_known(host, SHARE_TABLE);
        journal::event("lease", "gained", json!({ "store_ms": now.as_millis() }));
    }
    host.state.borrow_mut().lease.renewed(sent_at);
    confirm_catalog(host, sent_at);
    host.metrics.lease.set(1);
}

/// Applies the current rows returned for a renewal, sent at `sent_at`, whose preconditions failed,
/// and reads the groups if their epoch has changed. Returns whether all current rows are known now.
pub(super) async fn apply_conflict(
    host: &HostContext,
    sent_at: BootInstant,
    expected: &[ExpectedRow],
    rows: &[tanagerdeal_adapter::store::StoreRow],
) -> bool {
    for row in rows {
        apply_row(host, row);
    }
    for (table, key, version) in expected {
        let is_present = rows.iter().any(|row| row.table == *table && row.key == *key);
        match (is_present, *version) {
            (true, _) | (false, 0) => (),
            (false, _) if *table == HOST_TABLE => host.versions.borrow_mut().own = 0,
            (false, version) => apply_row(
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
    let config = rows.iter().find(|row| row.table == OPERATOR_TABLE && row.key == CONFIG_KEY);
    if config.is_some_and(|row| row.version == host.versions.borrow().config) {
        confirm_catalog(host, sent_at);
    }
    let epoch = rows.iter().find(|row| row.table == GROUP_TABLE && row.key == GROUP_EPOCH_KEY);
    let known = || host.mirrors.row_version(GROUP_TABLE, GROUP_EPOCH_KEY);
    match epoch {
        Some(row) if row.version > known() => {
            let read = MirrorRead::now(GROUP_TABLE, "groups", Duration::ZERO);
            mirror::update(host, read).await && row.version <= known()
        }
        _ => true,
    }
}

/// Whether there are missing group rows that can be created now.
pub(super) fn lacks_groups(host: &HostContext) -> bool {
    !missing_groups(host).is_empty()
}

/// Rows to create for groups that have none and exactly one registered primary.
fn missing_groups(host: &HostContext) -> Vec<GroupRecord> {
    let host_state = host.state.borrow();
    let Some(catalog) = host_state.catalog.as_ref() else { return Vec::new() };
    let groups = catalog.routed_groups();
    let missing = groups.iter().filter(|group| host_state.groups.get(group).is_none());
    missing
        .filter_map(|group| {
            let mut primaries = host_state
                .endpoints
                .of_group(group)
                .filter(|(_, state)| state.record.role == EndpointRole::Primary);
            let primary = primaries.next()?.1.record.id.clone();
            let group = (*group).to_owned();
            // With two self-declared primaries the choice is left to an operator. After a
            // restoration the row may replace one that was lost, so it is not verified then.
            primaries.next().is_none().then_some(GroupRecord {
                group,
                term: 0,
                primary,
                change: None,
                term_start: None,
                verified_era: FIRST_ERA,
                former_starts: Vec::new(),
            })
        })
        .collect()
}

/// Creates the missing group rows, each naming the endpoint that is registered as primary.
pub(super) async fn create_groups(host: &HostContext) {
    for missing in missing_groups(host).chunks(MAX_WRITTEN_GROUPS) {
        // After a conflict another host is creating the rest. All hosts of a fleet start together,
        // and the store could not take the transactions of all.
        if !create_group_batch(host, missing).await {
            return;
        }
    }
}

/// Creates rows of groups in one transaction. Returns whether they were created.
async fn create_group_batch(host: &HostContext, missing: &[GroupRecord]) -> bool {
    let mut transaction = RowTransaction { writes: vec![epoch_write()], ..Default::default() };
    for record in missing {
        let Some(value) = encode(record) else { continue };
        let name = RowName { table: GROUP_TABLE, key: &record.group };
        transaction.expected.push((name, 0));
        transaction.writes.push((name, value));
    }
    let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
    host.record_store_call("create_groups", &result);
    match result {
        Ok(TransactionOutcome::Applied { .. }) => {
            let groups: Vec<&str> = missing.iter().map(|record| record.group.as_str()).collect();
            journal::event("group", "created", json!({ "groups": groups }));
            true
        }
        Ok(TransactionOutcome::Conflict(page)) => {
            page.rows.iter().for_each(|row| apply_row(host, row));
            false
        }
        Err(_) => false,
    }
}

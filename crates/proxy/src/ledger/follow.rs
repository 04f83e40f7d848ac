//! Taking over rows of the store: the configuration, evacuations, groups, shares, hosts.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde_json::json;
use tanagerdeal_adapter::operator::{CONFIG_KEY, OPERATOR_TABLE, decode_config, evacuated_domain};
use tanagerdeal_adapter::server::SERVER_TABLE;
use tanagerdeal_adapter::store::{RowPage, StoreRow};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::group::{GroupEntry, GroupRecord};
use tanagerdeal_core::ledger::lease::{HostEntry, HostRecord};
use tanagerdeal_core::ledger::mirror::MirrorPage;
use tanagerdeal_core::ledger::quota::ShareRecord;
use tokio::time::sleep;

use super::context::{HostContext, RETRY_PAUSE, boot_now};
use super::mirror::{self, MirrorRead, page_of, store_row};
use super::{journal, registrations};

/// Table of the groups' rows.
pub(super) const GROUP_TABLE: &str = "groups";
/// Table of the hosts' rows.
pub(super) const HOST_TABLE: &str = "hosts";
/// Table of the customers' shares.
pub(super) const SHARE_TABLE: &str = "shares";
/// Table of the duty to change primaries.
pub(super) const DUTY_TABLE: &str = "duties";
/// Time that a read of a table may take.
pub(super) const READ_LIMIT: Duration = Duration::from_secs(2);

/// Wait of a long poll. The renewal of the lease finds a change that a silent poll misses.
const POLL_WAIT: Duration = Duration::from_secs(29);
/// The same at a relay. It costs no call, so a relay that has gone silent is noticed soon.
const RELAYED_WAIT: Duration = Duration::from_millis(1_500);

/// Content of a row to write. A record that cannot be encoded is logged and not written.
pub(super) fn encode(record: &impl Serialize) -> Option<Vec<u8>> {
    match serde_json::to_vec(record) {
        Ok(value) => Some(value),
        Err(error) => {
            journal::event("store", "not_encoded", json!({ "reason": error.to_string() }));
            None
        }
    }
}

/// Reads all rows of a table and the store's clock, if the store answers; `call` is the purpose by
/// which the read is counted.
pub(super) async fn read_once(host: &HostContext, table: &str, call: &str) -> Option<RowPage> {
    let sent_at = boot_now();
    let result = host.store.read(table, READ_LIMIT).await;
    host.note_store(call, &result);
    let page = result.ok()?;
    host.book.borrow_mut().lease.note_clock(sent_at, boot_now(), page.now);
    Some(page)
}

/// Reads all rows of a table, again and again until the store answers.
pub(super) async fn read_table(host: &HostContext, table: &str) -> RowPage {
    loop {
        if let Some(page) = read_once(host, table, "read").await {
            return page;
        }
        // During the start no other task would notice that the store is back.
        sleep(RETRY_PAUSE).await;
    }
}

/// Reads a table from the store and takes it over as a whole.
pub(super) async fn load_table(host: &HostContext, table: &str) {
    let asked_at = boot_now();
    let page = read_table(host, table).await;
    adopt_page(host, table, &page_of(page, true), asked_at);
}

/// Follows a table.
pub(super) async fn follow(host: Rc<HostContext>, table: &'static str) {
    let read = MirrorRead {
        store_wait: POLL_WAIT,
        relay_wait: RELAYED_WAIT,
        ..MirrorRead::now(table, "follow", Duration::ZERO)
    };
    loop {
        if !mirror::update(&host, read).await {
            host.store_pause().await;
        }
    }
}

/// Takes over a page of a table that was asked for at `asked_at`.
pub(super) fn adopt_page(
    host: &HostContext,
    table: &str,
    page: &MirrorPage,
    asked_at: BootInstant,
) {
    let news = host.mirrors.adopt(table, page, asked_at);
    match table {
        // Hosts are taken over as a list.
        HOST_TABLE => adopt_hosts(host, host.mirrors.whole(table)),
        _ => news.into_iter().for_each(|row| adopt_row(host, &store_row(table, row))),
    }
}

/// Takes over all rows of a table as they are known, although they are no news.
pub(super) fn adopt_known(host: &HostContext, table: &str) {
    let rows = host.mirrors.whole(table).map(|page| page.rows).unwrap_or_default();
    rows.into_iter().for_each(|row| adopt_row(host, &store_row(table, row)));
}

/// Takes over one row of any table.
pub(super) fn adopt_row(host: &HostContext, row: &StoreRow) {
    match (row.table.as_str(), row.key.as_str()) {
        (OPERATOR_TABLE, CONFIG_KEY) => adopt_config(host, row),
        (OPERATOR_TABLE, key) => {
            if let Some(domain) = evacuated_domain(key) {
                adopt_evacuation(host, domain, row.version, row.value.is_some());
            }
        }
        (SERVER_TABLE, id) => registrations::adopt(host, id, row),
        (GROUP_TABLE, _) => adopt_group(host, row),
        (SHARE_TABLE, customer) => adopt_share(host, customer, row),
        (HOST_TABLE, name) if name == host.settings.host => {
            host.versions.borrow_mut().own = row.version;
        }
        _ => (),
    }
}

fn adopt_config(host: &HostContext, row: &StoreRow) {
    let Some(value) = row.value.as_deref() else { return };
    let known = host.versions.borrow().config;
    if row.version <= known {
        return;
    }
    let (catalog, problems) = match decode_config(value) {
        Ok(decoded) => decoded,
        Err(error) => {
            // The row stays the one to renew on, so that the lease does not depend on it.
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
    let mut book = host.book.borrow_mut();
    let former = book.catalog.as_ref().map(|catalog| catalog.version);
    if former.is_some_and(|former| former >= catalog.version) {
        return;
    }
    for customer in catalog.customers() {
        let rate = customer.rate;
        book.quota.set_rate(&customer.name, rate.rate_per_s, rate.burst, now);
    }
    let version = catalog.version;
    book.catalog = Some(Arc::new(catalog));
    host.metrics.catalog.set(i64::try_from(version).unwrap_or(i64::MAX));
    let fields = json!({ "version": version, "former": former, "row_version": row.version,
                         "unreadable_entries": problems.len(), "first_problem": problems.first() });
    journal::event("catalog", "adopted", fields);
}

fn adopt_evacuation(host: &HostContext, domain: &str, version: u64, is_out: bool) {
    let mut versions = host.versions.borrow_mut();
    let known = versions.evacuations.entry(domain.to_owned()).or_default();
    *known = if is_out { version } else { 0 };
    let mut book = host.book.borrow_mut();
    let was_out = book.evacuated.contains_key(domain);
    match (was_out, is_out) {
        (false, true) => {
            book.evacuated.insert(domain.to_owned(), boot_now());
        }
        (true, false) => {
            book.evacuated.remove(domain);
        }
        _ => return,
    }
    journal::event(
        "domain",
        if is_out { "evacuated" } else { "returned" },
        json!({ "domain": domain, "row_version": version }),
    );
}

fn adopt_group(host: &HostContext, row: &StoreRow) {
    let Some(value) = row.value.as_deref() else { return };
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
    // The host that has marked the group waits for a renewal; nobody waits for one after a result.
    if adopt_group_entry(host, GroupEntry { version: row.version, record }) && is_marked {
        host.renew.notify_one();
    }
}

/// Takes over the row of a group. Returns whether it is news.
pub(super) fn adopt_group_entry(host: &HostContext, entry: GroupEntry) -> bool {
    let record = &entry.record;
    let fields = json!({ "group": record.group, "term": record.term, "primary": record.primary,
        "changing": record.change.is_some(), "token": record.change.as_ref().map(|mark| mark.token),
        "holder": record.change.as_ref().map(|mark| mark.holder.clone()),
        "row_version": entry.version });
    let is_news = host.book.borrow_mut().adopt_group(entry);
    if is_news {
        journal::event("group", "adopted", fields);
    }
    is_news
}

fn adopt_share(host: &HostContext, customer: &str, row: &StoreRow) {
    let Some(value) = row.value.as_deref() else { return };
    match serde_json::from_slice::<ShareRecord>(value) {
        Ok(record) => {
            host.book.borrow_mut().quota.adopt(customer, row.version, record, boot_now());
        }
        Err(error) => journal::event(
            "share",
            "unreadable",
            json!({ "customer": customer, "reason": error.to_string() }),
        ),
    }
}

/// Takes over the rows of all hosts, unless newer ones are known.
fn adopt_hosts(host: &HostContext, page: Option<MirrorPage>) {
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
    let mut book = host.book.borrow_mut();
    if page.read_at < book.hosts_read_at {
        return;
    }
    let names = |entries: &[HostEntry]| -> Vec<String> {
        entries.iter().map(|entry| entry.record.host.clone()).collect()
    };
    let (former, present) = (names(&book.hosts), names(&entries));
    if former != present {
        journal::event("host", "list", json!({ "hosts": present, "row_version": page.version }));
    }
    (book.hosts, book.hosts_read_at) = (entries, page.read_at);
}

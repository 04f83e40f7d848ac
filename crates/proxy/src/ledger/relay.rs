//! Renewing the lease through a relay, and being one.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::json;
use tanagerdeal_adapter::store::{RowName, RowPage, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
use tanagerdeal_core::ledger::renewal::{
    ANSWER_LIMIT, GATHER_TIME, HostListView, QueuedRenewal, RenewalAnswer, RenewalBatch,
    RenewalQueue, RenewalRequest, SILENT_TERM, adopt_view, list_view, max_batch, relay,
    renewal_basis,
};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::follow::{HOST_TABLE, encode};
use super::journal;
use super::keeper::{
    ExpectedRow, WRITE_LIMIT, adopt_conflict, conditions, relied_rows, renewed_record,
};
use super::peers::{AnswerDesk, PeerMessage, address_of};
use super::registrations;
use super::sharing::refresh;

/// Attempts to write a batch: the second leaves out the hosts whose rows had changed.
const ATTEMPTS: usize = 2;

/// Requests for renewals, those of this host and those of others.
#[derive(Default)]
pub(super) struct RenewalDesk {
    /// The own requests.
    pub(super) desk: AnswerDesk<Option<RenewalAnswer>>,
    queue: RefCell<RenewalQueue>,
    queued: Notify,
}

/// Renews the lease through the relay of the failure domain. Returns whether it did.
pub(super) async fn renew(host: &HostContext) -> bool {
    let sent_at = boot_now();
    let Some((relay, request)) = question(host, sent_at) else { return false };
    let address = address_of(host, &relay);
    let is_own = relay == host.settings.host;
    let send = |call| match (is_own, address) {
        (true, _) => {
            enqueue(host, call, None, request);
            true
        }
        (false, Some(address)) => {
            host.peers.send(address, PeerMessage::AskRenewal { call, request })
        }
        (false, None) => false,
    };
    let answer = host.renewals.desk.ask(ANSWER_LIMIT, send).await;
    match answer {
        Some(Some(answer)) => adopt_answer(host, sent_at, answer),
        Some(None) => false,
        None => {
            host.renewals.desk.note_silent(&relay, boot_now().after(SILENT_TERM));
            journal::event("relay", "silent", json!({ "relay": relay }));
            false
        }
    }
}

/// The relay and what it is asked, while the lease is valid.
fn question(host: &HostContext, now: BootInstant) -> Option<(String, RenewalRequest)> {
    let name = {
        let book = host.book.borrow();
        let is_silent = |name: &str| host.renewals.desk.is_silent(name, now);
        let relay = relay(&book.hosts, book.hosts_read_at, &book.domain, &is_silent)?;
        book.lease.is_valid(now).then(|| relay.to_owned())?
    };
    let request = RenewalRequest {
        own_version: host.versions.borrow().own,
        basis: basis(&relied_rows(host)),
        record: renewed_record(host, now)?,
    };
    Some((name, request))
}

fn basis(rows: &[ExpectedRow]) -> u64 {
    renewal_basis(conditions(rows).map(|(name, version)| (name.table, name.key, version)))
}

/// Takes over the answer of the relay to a request that was sent at `sent_at`.
fn adopt_answer(host: &HostContext, sent_at: BootInstant, answer: RenewalAnswer) -> bool {
    let RenewalAnswer { version, now, registrations, hosts } = answer;
    let is_list_same = {
        let mut book = host.book.borrow_mut();
        // A lease that has ended meanwhile is begun anew, with what that entails.
        if !book.lease.is_valid(boot_now()) {
            return false;
        }
        host.versions.borrow_mut().own = version;
        book.lease.note_clock(sent_at, boot_now(), now);
        book.lease.renewed(sent_at);
        let book = &mut *book;
        hosts.map(|view| adopt_view(&mut book.hosts, &mut book.hosts_read_at, &view))
    };
    host.metrics.lease.set(1);
    if let Some(view) = registrations {
        host.registrations.adopt_view(view, sent_at);
    }
    match is_list_same {
        Some(true) => host.hosts_asked_at.set(sent_at),
        // The list is read at the next look at it.
        Some(false) => host.hosts_asked_at.set(BootInstant::from_micros(0)),
        None => (),
    }
    true
}

/// Lets a request wait for the next batch.
pub(super) fn enqueue(
    host: &HostContext,
    call: u64,
    address: Option<SocketAddr>,
    request: RenewalRequest,
) {
    let deadline = boot_now().after(ANSWER_LIMIT);
    let renewal = QueuedRenewal { call, address, deadline, request };
    host.renewals.queue.borrow_mut().add(renewal);
    host.renewals.queued.notify_one();
}

/// Renews for other hosts until the process ends.
pub(super) async fn serve(host: Rc<HostContext>) {
    loop {
        host.renewals.queued.notified().await;
        sleep(GATHER_TIME).await;
        while !host.renewals.queue.borrow().is_empty() {
            serve_batch(&host).await;
        }
    }
}

async fn serve_batch(host: &HostContext) {
    let relied = relied_rows(host);
    let RenewalBatch { mut agreed, declined } =
        host.renewals.queue.borrow_mut().take(basis(&relied), max_batch(relied.len()), boot_now());
    declined.iter().for_each(|renewal| answer(host, renewal, None));
    if agreed.is_empty() {
        return;
    }
    // Both are read after the requests have come, so that they are news to the hosts that asked.
    let views = async { (registrations::poll_view(host).await, read_view(host).await) };
    let (written, (registrations, hosts)) = tokio::join!(write(host, &relied, &mut agreed), views);
    let version = written.map(|written| written.version);
    journal::event(
        "relay",
        "batch",
        json!({ "hosts": agreed.len(), "declined": declined.len(), "row_version": version,
                "registrations": registrations.map(|view| view.as_of) }),
    );
    let answered = written.map(|written| {
        let WrittenBatch { version, now } = written;
        RenewalAnswer { version, now, registrations, hosts }
    });
    agreed.iter().for_each(|renewal| answer(host, renewal, answered.clone()));
}

/// The rows of a batch as the store has taken them.
#[derive(Clone, Copy)]
struct WrittenBatch {
    version: u64,
    now: StoreInstant,
}

/// Writes the rows of a batch. Hosts whose rows had changed are declined
/// and left out.
async fn write(
    host: &HostContext,
    relied: &[ExpectedRow],
    agreed: &mut Vec<QueuedRenewal>,
) -> Option<WrittenBatch> {
    for _ in 0..ATTEMPTS {
        let until = host.book.borrow().lease.stored_end(boot_now())?;
        let mut transaction =
            RowTransaction { expected: conditions(relied).collect(), writes: Vec::new() };
        for renewal in agreed.iter() {
            let record = &renewal.request.record;
            let name = RowName { table: HOST_TABLE, key: &record.host };
            let mut record = record.clone();
            record.until = until;
            transaction.expected.push((name, renewal.request.own_version));
            transaction.writes.push((name, encode(&record)?));
        }
        let result = host.store.transact(&transaction, WRITE_LIMIT).await;
        host.note_store("relay", &result);
        let page = match result {
            Ok(TransactionOutcome::Applied { version, now }) => {
                return Some(WrittenBatch { version, now });
            }
            Ok(TransactionOutcome::Conflict(page)) => page,
            Err(_) => return None,
        };
        adopt_conflict(host, relied, &page.rows);
        if relied_rows(host) != relied {
            return None;
        }
        let is_current = |renewal: &QueuedRenewal| is_row_current(&page, &renewal.request);
        let (current, changed): (Vec<_>, Vec<_>) =
            std::mem::take(agreed).into_iter().partition(is_current);
        changed.iter().for_each(|renewal| answer(host, renewal, None));
        *agreed = current;
        if agreed.is_empty() {
            return None;
        }
    }
    None
}

/// Whether a host's row is the one that its request names.
fn is_row_current(page: &RowPage, request: &RenewalRequest) -> bool {
    let row =
        page.rows.iter().find(|row| row.table == HOST_TABLE && row.key == request.record.host);
    row.map_or(0, |row| row.version) == request.own_version
}

fn answer(host: &HostContext, renewal: &QueuedRenewal, answer: Option<RenewalAnswer>) {
    let call = renewal.call;
    match renewal.address {
        None => host.renewals.desk.complete(call, answer),
        // A host without an answer renews itself.
        Some(address) => {
            host.peers.send(address, PeerMessage::Renewal { call, answer });
        }
    }
}

async fn read_view(host: &HostContext) -> Option<HostListView> {
    let before = host.book.borrow().hosts_read_at;
    refresh(host, HOST_TABLE).await;
    let book = host.book.borrow();
    (book.hosts_read_at > before).then(|| list_view(&book.hosts, book.hosts_read_at))
}

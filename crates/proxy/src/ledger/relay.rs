//! Lease renewal through a relay: the requesting side and the relay itself.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::json;
use tanagerdeal_adapter::store::{RowName, RowPage, RowTransaction, TransactionOutcome};
use tanagerdeal_core::ledger::clock::{BootInstant, StoreInstant};
use tanagerdeal_core::ledger::renewal::{
    BATCH_DELAY, HostListView, QueuedRenewal, RESPONSE_TIMEOUT, RenewalAnswer, RenewalBatch,
    RenewalQueue, RenewalRequest, UNRESPONSIVE_TERM, apply_view, list_view, max_batch, relay,
    renewal_basis,
};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::context::{HostContext, boot_now};
use super::follow::{HOST_TABLE, encode};
use super::freshness::confirm_catalog;
use super::journal;
use super::lease::{
    ExpectedRow, WRITE_TIMEOUT, apply_conflict, conditions, renewal_record, required_rows,
};
use super::peers::{PeerMessage, PendingRequests, peer_address};
use super::quota::refresh_table;
use super::registrations;

/// Attempts to write a batch. The second leaves out the hosts whose rows had changed.
const WRITE_ATTEMPTS: usize = 2;

/// Renewal requests: those sent by this host, and those queued at it as a relay.
#[derive(Default)]
pub(super) struct PendingRenewals {
    /// Requests of this host that wait for a response.
    pub(super) pending: PendingRequests<Option<RenewalAnswer>>,
    queue: RefCell<RenewalQueue>,
    queued: Notify,
}

/// Renews the lease through the relay of the failure domain. Returns whether it was renewed.
pub(super) async fn renew(host: &HostContext) -> bool {
    let sent_at = boot_now();
    let Some((relay, request)) = prepare_request(host, sent_at) else { return false };
    let address = peer_address(host, &relay);
    let is_own = relay == host.settings.host;
    let send = |call| match (is_own, address) {
        (true, _) => {
            enqueue(host, call, None, request);
            true
        }
        (false, Some(address)) => {
            host.peers.send(address, PeerMessage::RequestRenewal { call, request })
        }
        (false, None) => false,
    };
    let response = host.renewals.pending.request(RESPONSE_TIMEOUT, send).await;
    match response {
        Some(Some(response)) => apply_response(host, sent_at, response),
        Some(None) => false,
        None => {
            host.renewals.pending.mark_unresponsive(&relay, boot_now().after(UNRESPONSIVE_TERM));
            journal::event("relay", "silent", json!({ "relay": relay }));
            false
        }
    }
}

/// The relay and the request for it; `None` without a relay or a valid lease.
fn prepare_request(host: &HostContext, now: BootInstant) -> Option<(String, RenewalRequest)> {
    let name = {
        let state = host.state.borrow();
        let is_unresponsive = |name: &str| host.renewals.pending.is_unresponsive(name, now);
        let relay = relay(&state.hosts, state.hosts_read_at, &state.domain, &is_unresponsive)?;
        state.lease.is_valid(now).then(|| relay.to_owned())?
    };
    let request = RenewalRequest {
        own_version: host.versions.borrow().own,
        basis: required_rows_digest(&required_rows(host)),
        record: renewal_record(host, now)?,
    };
    Some((name, request))
}

fn required_rows_digest(rows: &[ExpectedRow]) -> u64 {
    renewal_basis(conditions(rows).map(|(name, version)| (name.table, name.key, version)))
}

/// Applies the relay's response to a request that was sent at `sent_at`. Returns whether the lease
/// was renewed.
fn apply_response(host: &HostContext, sent_at: BootInstant, response: RenewalAnswer) -> bool {
    let RenewalAnswer { version, now, registrations, hosts } = response;
    let is_list_same = {
        let mut state = host.state.borrow_mut();
        // A lease that has ended meanwhile must be acquired again by a direct renewal, which also
        // reloads the shares.
        if !state.lease.is_valid(boot_now()) {
            return false;
        }
        host.versions.borrow_mut().own = version;
        state.lease.note_clock(sent_at, boot_now(), now);
        state.lease.renewed(sent_at);
        let state = &mut *state;
        hosts.map(|view| apply_view(&mut state.hosts, &mut state.hosts_read_at, &view))
    };
    confirm_catalog(host, sent_at);
    host.metrics.lease.set(1);
    if let Some(view) = registrations {
        host.registrations.apply_view(view, sent_at);
    }
    match is_list_same {
        Some(true) => host.hosts_asked_at.set(sent_at),
        // Forces a read of the list at the next check.
        Some(false) => host.hosts_asked_at.set(BootInstant::from_micros(0)),
        None => (),
    }
    true
}

/// Queues a request for the next batch. `address` is `None` for this host's own request.
pub(super) fn enqueue(
    host: &HostContext,
    call: u64,
    address: Option<SocketAddr>,
    request: RenewalRequest,
) {
    let deadline = boot_now().after(RESPONSE_TIMEOUT);
    let renewal = QueuedRenewal { call, address, deadline, request };
    host.renewals.queue.borrow_mut().add(renewal);
    host.renewals.queued.notify_one();
}

/// Renews leases for the failure domain until the process ends.
pub(super) async fn serve(host: Rc<HostContext>) {
    loop {
        host.renewals.queued.notified().await;
        sleep(BATCH_DELAY).await;
        while !host.renewals.queue.borrow().is_empty() {
            serve_batch(&host).await;
        }
    }
}

async fn serve_batch(host: &HostContext) {
    let required = required_rows(host);
    let RenewalBatch { mut agreed, declined } = host.renewals.queue.borrow_mut().take(
        required_rows_digest(&required),
        max_batch(required.len()),
        boot_now(),
    );
    declined.iter().for_each(|renewal| respond(host, renewal, None));
    if agreed.is_empty() {
        return;
    }
    // Both are read after the requests have arrived, so that the data is newer than the requests.
    let views = async { (registrations::poll_view(host).await, read_view(host).await) };
    let (written, (registrations, hosts)) =
        tokio::join!(write(host, &required, &mut agreed), views);
    let version = written.map(|written| written.version);
    journal::event(
        "relay",
        "batch",
        json!({ "hosts": agreed.len(), "declined": declined.len(), "row_version": version,
                "registrations": registrations.map(|view| view.as_of) }),
    );
    let response = written.map(|written| {
        let WrittenBatch { version, now } = written;
        RenewalAnswer { version, now, registrations, hosts }
    });
    agreed.iter().for_each(|renewal| respond(host, renewal, response.clone()));
}

/// Row version and store clock of a batch that was written.
#[derive(Clone, Copy)]
struct WrittenBatch {
    version: u64,
    now: StoreInstant,
}

/// Writes the rows of a batch. Hosts whose rows had changed are declined and removed from `agreed`.
async fn write(
    host: &HostContext,
    required: &[ExpectedRow],
    agreed: &mut Vec<QueuedRenewal>,
) -> Option<WrittenBatch> {
    for _ in 0..WRITE_ATTEMPTS {
        let until = host.state.borrow().lease.stored_end(boot_now())?;
        let mut transaction =
            RowTransaction { expected: conditions(required).collect(), writes: Vec::new() };
        for renewal in agreed.iter() {
            let record = &renewal.request.record;
            let name = RowName { table: HOST_TABLE, key: &record.host };
            let mut record = record.clone();
            record.until = until;
            transaction.expected.push((name, renewal.request.own_version));
            transaction.writes.push((name, encode(&record)?));
        }
        let sent_at = boot_now();
        let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
        host.record_store_call("relay", &result);
        let page = match result {
            Ok(TransactionOutcome::Applied { version, now }) => {
                return Some(WrittenBatch { version, now });
            }
            Ok(TransactionOutcome::Conflict(page)) => page,
            Err(_) => return None,
        };
        if !apply_conflict(host, sent_at, required, &page.rows).await
            || required_rows(host) != required
        {
            return None;
        }
        let is_current = |renewal: &QueuedRenewal| is_row_current(&page, &renewal.request);
        let (current, changed): (Vec<_>, Vec<_>) =
            std::mem::take(agreed).into_iter().partition(is_current);
        changed.iter().for_each(|renewal| respond(host, renewal, None));
        *agreed = current;
        if agreed.is_empty() {
            return None;
        }
    }
    None
}

/// Whether a host's row still has the version stated in its request.
fn is_row_current(page: &RowPage, request: &RenewalRequest) -> bool {
    let row =
        page.rows.iter().find(|row| row.table == HOST_TABLE && row.key == request.record.host);
    row.map_or(0, |row| row.version) == request.own_version
}

fn respond(host: &HostContext, renewal: &QueuedRenewal, answer: Option<RenewalAnswer>) {
    let call = renewal.call;
    match renewal.address {
        None => host.renewals.pending.complete(call, answer),
        // A host that gets no response renews its lease itself, so a lost message is not repeated.
        Some(address) => {
            host.peers.send(address, PeerMessage::Renewal { call, answer });
        }
    }
}

async fn read_view(host: &HostContext) -> Option<HostListView> {
    let before = host.state.borrow().hosts_read_at;
    refresh_table(host, HOST_TABLE).await;
    let state = host.state.borrow();
    (state.hosts_read_at > before).then(|| list_view(&state.hosts, state.hosts_read_at))
}

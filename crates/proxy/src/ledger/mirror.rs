//! Reads store tables through the relay of the failure domain: the requesting side and the relay
//! itself.
//!
//! The relay reads a table from the store once for all hosts that request it at the same time. A
//! host without a relay, or whose relay has no data, reads the store itself.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use serde_json::json;
use tanagerdeal_adapter::operator::OPERATOR_TABLE;
use tanagerdeal_adapter::server::SERVER_TABLE;
use tanagerdeal_adapter::store::{RowPage, StoreError, StoreRow};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::mirror::{MirrorPage, MirrorRow, TableMirror};
use tanagerdeal_core::ledger::renewal::{UNRESPONSIVE_TERM, relay};
use tanagerdeal_wire::wire_type;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::context::{HostContext, boot_now};
use super::follow::{
    GROUP_TABLE, HOST_TABLE, READ_TIMEOUT, SHARE_TABLE, apply_page, apply_store_page,
};
use super::journal;
use super::peers::{decode, encode, peer_address};

/// Timeout of a read of the changes of a table, beside its wait.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest frame; the configuration of a site has up to 256 KB.
const MAX_FRAME_BYTES: usize = 4 * 1_024 * 1_024;
/// Response timeout of a read that does not wait for changes. It covers a store call that is slower
/// by a factor of ten, and a page of some ten kilobytes for each host of a failure domain over the
/// relay's link.
const READ_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Response timeout of a long poll, in addition to the wait. Together they stay well below the time
/// in which a configuration must take effect (3 s on the small sites), as the relay may be frozen.
const POLL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which an idle connection is closed: two reads of the host table.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of opening a connection to the relay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a host polls the store itself after it has received a long poll from another host.
/// Longer than the wait of a long poll, so that a host in use as a relay does not rely on another
/// relay.
const RELAY_ROLE_TERM: Duration = Duration::from_secs(15);
/// Pause after a failed `accept`, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

wire_type! {
    /// Requests the changes of a table from a relay.
    struct MirrorRequest {
        /// Name of the table.
        table: String,
        /// Version that the requesting host has; 0 for none.
        after: u64,
        /// Accepted age of the response, in milliseconds.
        max_age_ms: u64,
        /// How long to wait for a change, in milliseconds; 0 for a read without waiting.
        wait_ms: u64,
    }

    /// Rows of the table from a relay; `None` when the relay has no current copy.
    struct MirrorResponse {
        page: Option<MirrorPage>,
    }
}

/// Parameters of a table read.
#[derive(Clone, Copy, Debug)]
pub(super) struct MirrorRead {
    /// Name of the table.
    pub(super) table: &'static str,
    /// Purpose under which store calls are counted in the metrics.
    pub(super) call: &'static str,
    /// Accepted age of the data.
    pub(super) max_age: Duration,
    /// How long a store call waits for a change.
    pub(super) store_wait: Duration,
    /// How long a request to the relay waits for a change.
    pub(super) relay_wait: Duration,
    /// Timeout of a store call, beside its wait; `None` for the usual ones.
    pub(super) store_limit: Option<Duration>,
}

impl MirrorRead {
    /// A read that does not wait for changes.
    pub(super) const fn now(table: &'static str, call: &'static str, max_age: Duration) -> Self {
        let no_wait = Duration::ZERO;
        Self { table, call, max_age, store_wait: no_wait, relay_wait: no_wait, store_limit: None }
    }
}

struct RelayConnection {
    address: SocketAddr,
    frames: Framed<TcpStream, LengthDelimitedCodec>,
}

/// A copy of one table, with its connection to the relay.
struct TableCopy {
    mirror: RefCell<TableMirror>,
    /// Serialises reads, so that one call serves all hosts that were waiting for it. Long polls do
    /// not take it, as a read must not wait until one has ended.
    store_call: Mutex<()>,
    changed: Notify,
    /// Idle connection to the relay, kept from the last request.
    relay_connection: RefCell<Option<RelayConnection>>,
}

/// This host's copies of the store's tables.
pub(super) struct TableMirrors {
    copies: HashMap<&'static str, Rc<TableCopy>>,
    /// Until when this host polls the store itself because other hosts use it as a relay.
    relay_role_until: Cell<BootInstant>,
}

impl TableMirrors {
    /// Empty copies of all tables.
    pub(super) fn new() -> Self {
        let tables = [OPERATOR_TABLE, SERVER_TABLE, GROUP_TABLE, HOST_TABLE, SHARE_TABLE];
        let copy = || {
            Rc::new(TableCopy {
                mirror: RefCell::default(),
                store_call: Mutex::new(()),
                changed: Notify::new(),
                relay_connection: RefCell::default(),
            })
        };
        Self {
            copies: tables.into_iter().map(|table| (table, copy())).collect(),
            relay_role_until: Cell::new(BootInstant::from_micros(0)),
        }
    }

    /// Store version up to which a table is known; 0 for an unknown table.
    pub(super) fn version(&self, table: &str) -> u64 {
        self.copies.get(table).map_or(0, |copy| copy.mirror.borrow().version())
    }

    /// Version of a row in the copy of its table; 0 if there is none.
    pub(super) fn row_version(&self, table: &str, key: &str) -> u64 {
        self.copies.get(table).map_or(0, |copy| copy.mirror.borrow().row_version(key))
    }

    /// All rows of a table as they are known; `None` for an unknown table.
    pub(super) fn full_table(&self, table: &str) -> Option<MirrorPage> {
        self.copies.get(table).map(|copy| copy.mirror.borrow().page(0))
    }

    /// Applies a page of a table, and returns the rows that have changed.
    pub(super) fn apply(
        &self,
        table: &str,
        page: &MirrorPage,
        asked_at: BootInstant,
    ) -> Vec<MirrorRow> {
        let Some(copy) = self.copies.get(table) else { return Vec::new() };
        let changes = copy.mirror.borrow_mut().adopt(page, asked_at);
        copy.changed.notify_waiters();
        changes
    }
}

/// Converts a page of the store to one that relays pass on.
pub(super) fn to_mirror_page(page: RowPage, is_whole: bool) -> MirrorPage {
    let rows = page.rows.into_iter();
    let rows = rows
        .map(|row| MirrorRow { key: row.key, version: row.version, value: row.value })
        .collect();
    MirrorPage { is_whole, rows, version: page.version, read_at: page.now }
}

/// Converts a row of a copy to a row of the store.
pub(super) fn to_store_row(table: &str, row: MirrorRow) -> StoreRow {
    StoreRow { table: table.to_owned(), key: row.key, version: row.version, value: row.value }
}

/// Applies the changes of a table, read from the relay or else from the store. Returns whether that
/// succeeded.
pub(super) async fn update(host: &HostContext, read: MirrorRead) -> bool {
    if let Some((relay, address)) = update_source(host) {
        let asked_at = boot_now();
        match request_page(host, address, read).await {
            Ok(Some(page)) => {
                apply_page(host, read.table, &page, asked_at.before(read.max_age));
                return true;
            }
            // The relay cannot reach the store, but this host may.
            Ok(None) => (),
            Err(reason) => {
                host.renewals
                    .pending
                    .mark_unresponsive(&relay, boot_now().after(UNRESPONSIVE_TERM));
                let fields = json!({ "relay": relay, "table": read.table, "reason": reason });
                journal::event("relay", "no_rows", fields);
            }
        }
    }
    update_from_store(host, read).await
}

/// The relay to read from; `None` while other hosts use this one as a relay.
fn update_source(host: &HostContext) -> Option<(String, SocketAddr)> {
    let is_relay = boot_now() < host.mirrors.relay_role_until.get();
    relay_address(host).filter(|_| !is_relay)
}

/// Name and address of the relay; `None` if that is this host.
pub(super) fn relay_address(host: &HostContext) -> Option<(String, SocketAddr)> {
    let now = boot_now();
    let name = {
        let state = host.state.borrow();
        let is_unresponsive = |name: &str| host.renewals.pending.is_unresponsive(name, now);
        relay(&state.hosts, state.hosts_read_at, &state.domain, &is_unresponsive)?.to_owned()
    };
    let address = peer_address(host, &name).filter(|_| name != host.settings.host)?;
    Some((name, address))
}

/// Applies the changes of a table, read from the store. Returns whether that succeeded.
pub(super) async fn update_from_store(host: &HostContext, read: MirrorRead) -> bool {
    let Some(copy) = host.mirrors.copies.get(read.table) else { return false };
    if !read.store_wait.is_zero() {
        return read_from_store(host, copy, read).await;
    }
    let requested_at = boot_now();
    let _store_call = copy.store_call.lock().await;
    if copy.mirror.borrow().is_fresh(requested_at, read.max_age) {
        return true;
    }
    if copy.mirror.borrow().has_failed_since(requested_at) {
        return false;
    }
    let is_updated = read_from_store(host, copy, read).await;
    if !is_updated {
        copy.mirror.borrow_mut().note_failed(boot_now());
    }
    is_updated
}

/// Applies the changes of a table, read by a store call of its own: it neither waits for a call under
/// way nor relies on one. Returns whether the store replied.
pub(super) async fn update_alone(host: &HostContext, read: MirrorRead) -> bool {
    match host.mirrors.copies.get(read.table) {
        Some(copy) => read_from_store(host, copy, read).await,
        None => false,
    }
}

/// Reads the changes of a table, or the whole table if it was never read or the store no longer has
/// the history. Returns whether the store replied.
async fn read_from_store(host: &HostContext, copy: &TableCopy, read: MirrorRead) -> bool {
    let asked_at = boot_now();
    let (is_loaded, after) = {
        let mirror = copy.mirror.borrow();
        (mirror.is_loaded(), mirror.version())
    };
    if is_loaded {
        let limit = read.store_limit.unwrap_or(CHANGES_TIMEOUT);
        let result = host.store.follow(read.table, after, read.store_wait, limit).await;
        host.record_store_call(read.call, &result);
        match result {
            Ok(page) => {
                apply_store_page(host, read.table, &to_mirror_page(page, false), asked_at);
                return true;
            }
            Err(error @ (StoreError::HistoryGone | StoreError::EarlierEra { .. })) => {
                let reason = error.to_string();
                let fields = json!({ "table": read.table, "after": after, "reason": reason });
                journal::event("store", "history_gone", fields);
            }
            Err(_) => return false,
        }
    }
    let asked_at = boot_now();
    let limit = read.store_limit.unwrap_or(READ_TIMEOUT);
    let result = host.store.read(read.table, limit).await;
    host.record_store_call(read.call, &result);
    let Ok(page) = result else { return false };
    apply_store_page(host, read.table, &to_mirror_page(page, true), asked_at);
    true
}

/// Requests a table from a relay, over the connection of the last request if there is one.
///
/// # Errors
///
/// Fails with the reason when there is no response.
async fn request_page(
    host: &HostContext,
    address: SocketAddr,
    read: MirrorRead,
) -> Result<Option<MirrorPage>, String> {
    let Some(secret) = host.secret.get() else { return Ok(None) };
    let copy = host.mirrors.copies.get(read.table).ok_or("unknown table")?;
    let known = copy.relay_connection.borrow_mut().take().filter(|known| known.address == address);
    let mut connection = match known {
        Some(known) => known,
        None => RelayConnection::open(address).await?,
    };
    let request = MirrorRequest {
        table: read.table.to_owned(),
        after: host.mirrors.version(read.table),
        max_age_ms: read.max_age.as_millis() as u64,
        wait_ms: read.relay_wait.as_millis() as u64,
    };
    let response_time =
        if read.relay_wait.is_zero() { READ_RESPONSE_TIMEOUT } else { POLL_RESPONSE_TIMEOUT };
    let response =
        timeout(read.relay_wait + response_time, connection.exchange(secret, &request)).await;
    let response = response.map_err(|_| "the relay did not respond in time")??;
    copy.relay_connection.replace(Some(connection));
    Ok(response.page)
}

impl RelayConnection {
    async fn open(address: SocketAddr) -> Result<Self, String> {
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = opened.map_err(|_| "timed out connecting to the relay")?;
        let stream = stream.map_err(|error| error.to_string())?;
        Ok(Self { address, frames: Framed::new(stream, codec()) })
    }

    async fn exchange(
        &mut self,
        secret: &[u8],
        request: &MirrorRequest,
    ) -> Result<MirrorResponse, String> {
        let text = |error: std::io::Error| error.to_string();
        let request = encode(secret, request).ok_or("the request could not be encoded")?;
        self.frames.send(Bytes::from(request)).await.map_err(text)?;
        let frame =
            self.frames.next().await.ok_or("the relay closed the connection")?.map_err(text)?;
        decode(secret, &frame).ok_or_else(|| "the response of the relay is invalid".to_owned())
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Serves table reads of other hosts until the process ends.
pub(super) async fn serve(host: Rc<HostContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = host.clone();
                spawn_local(async move {
                    if let Err(reason) = serve_connection(&host, stream).await {
                        journal::request("mirror_question", || json!({ "reason": reason }));
                    }
                });
            }
            Err(error) => {
                journal::event("relay", "not_accepted", json!({ "reason": error.to_string() }));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the requests of one connection.
async fn serve_connection(host: &HostContext, stream: TcpStream) -> Result<(), String> {
    let text = |error: std::io::Error| error.to_string();
    let secret = host.secret.get().ok_or("this host has not loaded the secret of the fleet yet")?;
    let mut frames = Framed::new(stream, codec());
    // An idle connection is closed; the other host opens a new one when needed.
    while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, frames.next()).await {
        let request: MirrorRequest =
            decode(secret, &frame.map_err(text)?).ok_or("the request is invalid")?;
        let page = page_for(host, &request).await;
        let datagram =
            encode(secret, &MirrorResponse { page }).ok_or("the response could not be encoded")?;
        frames.send(Bytes::from(datagram)).await.map_err(text)?;
    }
    Ok(())
}

/// The rows for a request; `None` when this host has no current copy.
async fn page_for(host: &HostContext, request: &MirrorRequest) -> Option<MirrorPage> {
    let (table, copy) = host.mirrors.copies.get_key_value(request.table.as_str())?;
    match request.wait_ms {
        0 => {
            let max_age = Duration::from_millis(request.max_age_ms);
            let read = MirrorRead::now(table, "relayed", max_age);
            update_from_store(host, read).await.then_some(())?;
        }
        wait_ms => {
            host.mirrors.relay_role_until.set(boot_now().after(RELAY_ROLE_TERM));
            let wait = Duration::from_millis(wait_ms).min(RELAY_ROLE_TERM);
            let end = tokio::time::Instant::now() + wait;
            loop {
                let changed = copy.changed.notified();
                if copy.mirror.borrow().changed() > request.after
                    || timeout_at(end, changed).await.is_err()
                {
                    break;
                }
            }
            host.is_store_reachable().then_some(())?;
        }
    }
    let mirror = copy.mirror.borrow();
    mirror.is_loaded().then(|| mirror.page(request.after))
}

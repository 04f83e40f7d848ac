//! Reading tables through the relay of the failure domain, and being one.
//!
//! The relay reads a table from the store once for all hosts that ask for it at the same time. A host
//! without a relay, or whose relay has no answer, reads the store itself.

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
use tanagerdeal_core::ledger::renewal::{SILENT_TERM, relay};
use tanagerdeal_wire::wire_type;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::context::{HostContext, boot_now};
use super::follow::{GROUP_TABLE, HOST_TABLE, READ_LIMIT, SHARE_TABLE, adopt_page};
use super::journal;
use super::peers::{address_of, decode, encode};

/// Longest page; the configuration of a site has up to 256 KB.
const MAX_PAGE_BYTES: usize = 4 * 1_024 * 1_024;
/// Time that a relay has to read and answer: a call of a store that is slow by a factor of ten, and a
/// page of some ten kilobytes for each host of a failure domain over its link.
const READ_SLACK: Duration = Duration::from_millis(1_000);
/// Time that a relay has to answer beside the wait. Together they are well below the time in which a
/// configuration has to be in force (3 s on the small sites), as the relay may be frozen.
const WAIT_SLACK: Duration = Duration::from_millis(600);
/// Time after which a connection without questions is closed: two reads of the hosts.
const QUIET_LIMIT: Duration = Duration::from_secs(20);
/// Time in which a connection to the relay has to be there.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Time for which a host that was asked to follow a table does so itself: longer than the wait of a
/// question.
const RELAY_TERM: Duration = Duration::from_secs(15);
/// Pause after a connection could not be accepted, as when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

wire_type! {
    /// Asks a relay for the changes of a table.
    struct MirrorQuestion {
        /// Table.
        table: String,
        /// Version that the host knows; 0 for none.
        after: u64,
        /// How old the answer may be, in milliseconds.
        max_age_ms: u64,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u64,
    }

    /// What a relay knows; nothing when it cannot tell.
    struct MirrorAnswer {
        page: Option<MirrorPage>,
    }
}

/// What is read, and how.
#[derive(Clone, Copy, Debug)]
pub(super) struct MirrorRead {
    /// Table.
    pub(super) table: &'static str,
    /// Purpose by which a call of the store is counted.
    pub(super) call: &'static str,
    /// How old an answer may be.
    pub(super) max_age: Duration,
    /// How long to wait for a change at the store.
    pub(super) store_wait: Duration,
    /// The same at the relay.
    pub(super) relay_wait: Duration,
}

impl MirrorRead {
    /// A read that does not wait for changes.
    pub(super) const fn now(table: &'static str, call: &'static str, max_age: Duration) -> Self {
        Self { table, call, max_age, store_wait: Duration::ZERO, relay_wait: Duration::ZERO }
    }
}

/// A connection to a relay.
struct RelayConnection {
    address: SocketAddr,
    frames: Framed<TcpStream, LengthDelimitedCodec>,
}

/// A copy of one table.
struct MirrorFeed {
    mirror: RefCell<TableMirror>,
    /// Lets one call of the store serve all hosts that have asked before it.
    polling: Mutex<()>,
    changed: Notify,
    /// Connection over which the relay was asked last.
    relay: RefCell<Option<RelayConnection>>,
}

/// The copies of this host.
pub(super) struct MirrorDesk {
    feeds: HashMap<&'static str, Rc<MirrorFeed>>,
    /// Until when other hosts rely on this one to follow tables.
    relay_until: Cell<BootInstant>,
}

impl MirrorDesk {
    /// Copies that nothing has been read into.
    pub(super) fn new() -> Self {
        let tables = [OPERATOR_TABLE, SERVER_TABLE, GROUP_TABLE, HOST_TABLE, SHARE_TABLE];
        let feed = || {
            Rc::new(MirrorFeed {
                mirror: RefCell::default(),
                polling: Mutex::new(()),
                changed: Notify::new(),
                relay: RefCell::default(),
            })
        };
        Self {
            feeds: tables.into_iter().map(|table| (table, feed())).collect(),
            relay_until: Cell::new(BootInstant::from_micros(0)),
        }
    }

    /// Version of the store up to which a table is known.
    pub(super) fn version(&self, table: &str) -> u64 {
        self.feeds.get(table).map_or(0, |feed| feed.mirror.borrow().version())
    }

    /// The whole table as it is known.
    pub(super) fn whole(&self, table: &str) -> Option<MirrorPage> {
        self.feeds.get(table).map(|feed| feed.mirror.borrow().page(0))
    }

    /// Takes over a page of a table, and returns the rows that are news.
    pub(super) fn adopt(
        &self,
        table: &str,
        page: &MirrorPage,
        asked_at: BootInstant,
    ) -> Vec<MirrorRow> {
        let Some(feed) = self.feeds.get(table) else { return Vec::new() };
        let news = feed.mirror.borrow_mut().adopt(page, asked_at);
        feed.changed.notify_waiters();
        news
    }
}

/// A page of the store as one that relays pass on.
pub(super) fn page_of(page: RowPage, is_whole: bool) -> MirrorPage {
    let rows = page.rows.into_iter();
    let rows = rows
        .map(|row| MirrorRow { key: row.key, version: row.version, value: row.value })
        .collect();
    MirrorPage { is_whole, rows, version: page.version, read_at: page.now }
}

/// A row of a copy as one of the store.
pub(super) fn store_row(table: &str, row: MirrorRow) -> StoreRow {
    StoreRow { table: table.to_owned(), key: row.key, version: row.version, value: row.value }
}

/// Learns the changes of a table from the relay, or from the store, and takes them over. Returns
/// whether that succeeded.
pub(super) async fn update(host: &HostContext, read: MirrorRead) -> bool {
    if let Some((relay, address)) = source(host) {
        let asked_at = boot_now();
        match ask(host, address, read).await {
            Ok(Some(page)) => {
                adopt_page(host, read.table, &page, asked_at.before(read.max_age));
                return true;
            }
            // The relay does not reach the store; perhaps this host does.
            Ok(None) => (),
            Err(reason) => {
                host.renewals.desk.note_silent(&relay, boot_now().after(SILENT_TERM));
                let fields = json!({ "relay": relay, "table": read.table, "reason": reason });
                journal::event("relay", "no_rows", fields);
            }
        }
    }
    update_from_store(host, read).await
}

/// Whom to ask for rows: the relay, unless others take this host for one.
fn source(host: &HostContext) -> Option<(String, SocketAddr)> {
    let is_relay = boot_now() < host.mirrors.relay_until.get();
    relay_address(host).filter(|_| !is_relay)
}

/// Name and address of the relay, unless that is this host.
pub(super) fn relay_address(host: &HostContext) -> Option<(String, SocketAddr)> {
    let now = boot_now();
    let name = {
        let book = host.book.borrow();
        let is_silent = |name: &str| host.renewals.desk.is_silent(name, now);
        relay(&book.hosts, book.hosts_read_at, &book.domain, &is_silent)?.to_owned()
    };
    let address = address_of(host, &name).filter(|_| name != host.settings.host)?;
    Some((name, address))
}

/// Learns the changes of a table from the store. Returns whether that succeeded.
pub(super) async fn update_from_store(host: &HostContext, read: MirrorRead) -> bool {
    let Some(feed) = host.mirrors.feeds.get(read.table) else { return false };
    let due_at = boot_now();
    let _polling = feed.polling.lock().await;
    if feed.mirror.borrow().is_fresh(due_at, read.max_age) {
        return true;
    }
    if feed.mirror.borrow().has_failed_since(due_at) {
        return false;
    }
    let is_updated = call_store(host, feed, read).await;
    if !is_updated {
        feed.mirror.borrow_mut().note_failed(boot_now());
    }
    is_updated
}

/// Reads the changes of a table, or the whole table when there is no other way. Returns whether the
/// store has answered.
async fn call_store(host: &HostContext, feed: &MirrorFeed, read: MirrorRead) -> bool {
    let asked_at = boot_now();
    let (is_loaded, after) = {
        let mirror = feed.mirror.borrow();
        (mirror.is_loaded(), mirror.version())
    };
    if is_loaded {
        let result = host.store.follow(read.table, after, read.store_wait).await;
        host.note_store(read.call, &result);
        match result {
            Ok(page) => {
                adopt_page(host, read.table, &page_of(page, false), asked_at);
                return true;
            }
            Err(StoreError::HistoryGone) => {
                let fields = json!({ "table": read.table, "after": after });
                journal::event("store", "history_gone", fields);
            }
            Err(_) => return false,
        }
    }
    let asked_at = boot_now();
    let result = host.store.read(read.table, READ_LIMIT).await;
    host.note_store(read.call, &result);
    let Ok(page) = result else { return false };
    adopt_page(host, read.table, &page_of(page, true), asked_at);
    true
}

/// Asks a relay, over the connection of the last question about the table if there is one.
///
/// # Errors
///
/// Fails with the reason when there is no answer.
async fn ask(
    host: &HostContext,
    address: SocketAddr,
    read: MirrorRead,
) -> Result<Option<MirrorPage>, String> {
    let Some(secret) = host.secret.get() else { return Ok(None) };
    let feed = host.mirrors.feeds.get(read.table).ok_or("not a table of the fleet")?;
    let known = feed.relay.borrow_mut().take().filter(|known| known.address == address);
    let mut connection = match known {
        Some(known) => known,
        None => RelayConnection::open(address).await?,
    };
    let question = MirrorQuestion {
        table: read.table.to_owned(),
        after: host.mirrors.version(read.table),
        max_age_ms: read.max_age.as_millis() as u64,
        wait_ms: read.relay_wait.as_millis() as u64,
    };
    let slack = if read.relay_wait.is_zero() { READ_SLACK } else { WAIT_SLACK };
    let answer = timeout(read.relay_wait + slack, connection.exchange(secret, &question)).await;
    let answer = answer.map_err(|_| "no answer in time")??;
    feed.relay.replace(Some(connection));
    Ok(answer.page)
}

impl RelayConnection {
    async fn open(address: SocketAddr) -> Result<Self, String> {
        let opened = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let stream = opened.map_err(|_| "no connection in time")?;
        let stream = stream.map_err(|error| error.to_string())?;
        Ok(Self { address, frames: Framed::new(stream, codec()) })
    }

    async fn exchange(
        &mut self,
        secret: &[u8],
        question: &MirrorQuestion,
    ) -> Result<MirrorAnswer, String> {
        let text = |error: std::io::Error| error.to_string();
        let question = encode(secret, question).ok_or("question not encoded")?;
        self.frames.send(Bytes::from(question)).await.map_err(text)?;
        let frame = self.frames.next().await.ok_or("closed by the relay")?.map_err(text)?;
        decode(secret, &frame).ok_or_else(|| "unreadable answer".to_owned())
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_PAGE_BYTES).new_codec()
}

/// Answers questions of other hosts until the process ends.
pub(super) async fn serve(host: Rc<HostContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = host.clone();
                spawn_local(async move {
                    if let Err(reason) = answer(&host, stream).await {
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

/// Answers the questions of one connection.
async fn answer(host: &HostContext, stream: TcpStream) -> Result<(), String> {
    let text = |error: std::io::Error| error.to_string();
    let secret = host.secret.get().ok_or("not started yet")?;
    let mut frames = Framed::new(stream, codec());
    // A connection without questions is closed; the other host opens another one.
    while let Ok(Some(frame)) = timeout(QUIET_LIMIT, frames.next()).await {
        let question: MirrorQuestion =
            decode(secret, &frame.map_err(text)?).ok_or("unreadable question")?;
        let page = page_for(host, &question).await;
        let datagram = encode(secret, &MirrorAnswer { page }).ok_or("answer not encoded")?;
        frames.send(Bytes::from(datagram)).await.map_err(text)?;
    }
    Ok(())
}

/// What a question is answered with.
async fn page_for(host: &HostContext, question: &MirrorQuestion) -> Option<MirrorPage> {
    let (table, feed) = host.mirrors.feeds.get_key_value(question.table.as_str())?;
    match question.wait_ms {
        0 => {
            let max_age = Duration::from_millis(question.max_age_ms);
            let read = MirrorRead::now(table, "relayed", max_age);
            update_from_store(host, read).await.then_some(())?;
        }
        wait_ms => {
            host.mirrors.relay_until.set(boot_now().after(RELAY_TERM));
            let wait = Duration::from_millis(wait_ms).min(RELAY_TERM);
            let end = tokio::time::Instant::now() + wait;
            loop {
                let changed = feed.changed.notified();
                if feed.mirror.borrow().changed() > question.after
                    || timeout_at(end, changed).await.is_err()
                {
                    break;
                }
            }
            host.has_store_contact().then_some(())?;
        }
    }
    let mirror = feed.mirror.borrow();
    mirror.is_loaded().then(|| mirror.page(question.after))
}

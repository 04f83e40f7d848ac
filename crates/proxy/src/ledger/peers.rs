//! Messages between hosts, by datagrams that carry a code under the fleet's secret.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, Mac as _};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use sha2::Sha256;
use tanagerdeal_adapter::store::{RowName, RowTransaction};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::consent::GrantedStays;
use tanagerdeal_core::ledger::floor::SharedObservation;
use tanagerdeal_core::ledger::group::{GroupEntry, GroupRecord};
use tanagerdeal_core::ledger::renewal::{RenewalAnswer, RenewalRequest};
use tanagerdeal_core::ledger::takeover::HostConfirmation;
use tanagerdeal_wire::wire_type;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::context::{HostContext, boot_now};
use super::follow::read_table;
use super::keeper::WRITE_LIMIT;
use super::{consent, doubt, floors, journal, lending, relay, takeover};

/// Table of what all hosts share, and the key of the secret in it.
const FLEET_TABLE: &str = "fleet";
const SECRET_KEY: &str = "secret";
/// Bytes of the secret.
const SECRET_BYTES: usize = 32;
/// Bytes of the code that a datagram begins with.
const CODE_BYTES: usize = 16;
/// Longest datagram that is read; a request for a renewal with eight suspects has about 400 bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Pause after an error of the socket.
const SOCKET_PAUSE: Duration = Duration::from_millis(40);
/// Messages that wait to be sent.
const MAX_WAITING: usize = 256;

wire_type! {
    /// What a process tells with a confirmation.
    pub(super) struct ConfirmationWord {
        /// Its incarnation.
        pub(super) incarnation: u64,
        /// Hosts with a stay of it, and how long it still runs at most, in milliseconds.
        pub(super) stays: Vec<(String, u32)>,
        /// How long stays of an earlier process of the host may run, in milliseconds.
        pub(super) unknown_ms: u32,
    }

    /// A message between hosts.
    pub(super) enum PeerMessage {
        /// Asks for tokens of a customer's rate.
        Ask { loan: u64, customer: String, tokens: u64 },
        /// Tells that the sender gets no reply from a primary.
        Suspect { endpoint: String },
        /// Gives tokens.
        Give { loan: u64, customer: String, tokens: u64 },
        /// Asks a relay to renew the sender's lease.
        AskRenewal { call: u64, request: RenewalRequest },
        /// Tells that the lease was renewed, or that the relay does not do it.
        Renewal { call: u64, answer: Option<RenewalAnswer> },
        /// Tells a relay what the sender has seen of the primaries of some groups.
        Observed { observations: Vec<(String, SharedObservation)> },
        /// Asks a relay what it knows of a group's primary.
        AskObservations { call: u64, group: String, age_ms: u64 },
        /// Gives observations of a primary, oldest first.
        Observations { call: u64, observations: Vec<SharedObservation> },
        /// Tells of a group's row that marks its primary, and asks for a confirmation.
        Marked { version: u64, record: GroupRecord },
        /// Confirms that a process of a host obeys a group's row.
        Confirmed { group: String, version: u64, host: String, word: ConfirmationWord },
        /// Asks for a stay of a host that knows these versions of the groups' rows; the instant is that of
        /// its own clock, and comes back.
        AskStay { host: String, versions: Vec<(u64, u64)>, asked_us: u64 },
        /// Grants a stay.
        Stay { host: String, domain: String, asked_us: u64 },
        /// Asks for a sign of life.
        Ping,
        /// A sign of life.
        Pong,
    }
}

impl ConfirmationWord {
    /// The word of a process.
    pub(super) fn new(incarnation: u64, granted: GrantedStays) -> Self {
        // Rounded up: a stay must not seem to end early.
        let millis = |left: Duration| u32::try_from(left.as_millis() + 1).unwrap_or(u32::MAX);
        let stays = granted.stays.into_iter().map(|(host, left)| (host, millis(left)));
        Self { incarnation, stays: stays.collect(), unknown_ms: millis(granted.unknown) }
    }
}

impl From<ConfirmationWord> for GrantedStays {
    fn from(word: ConfirmationWord) -> Self {
        let span = |millis: u32| Duration::from_millis(u64::from(millis));
        let stays = word.stays.into_iter().map(|(host, left)| (host, span(left)));
        Self { stays: stays.collect(), unknown: span(word.unknown_ms) }
    }
}

/// Questions to other hosts that wait for an answer, and hosts that did not answer one.
pub(super) struct AnswerDesk<T> {
    open: RefCell<HashMap<u64, oneshot::Sender<T>>>,
    silent: RefCell<HashMap<String, BootInstant>>,
}

/// Way to the socket.
#[derive(Default)]
pub(super) struct PeerSender {
    waiting: RefCell<Option<mpsc::Sender<(SocketAddr, PeerMessage)>>>,
}

impl<T> Default for AnswerDesk<T> {
    fn default() -> Self {
        Self { open: RefCell::default(), silent: RefCell::default() }
    }
}

impl<T> AnswerDesk<T> {
    /// Sends a question and waits for its answer, up to `limit`. The question gets its number.
    pub(super) async fn ask(&self, limit: Duration, send: impl FnOnce(u64) -> bool) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        let call: u64 = rand::random();
        self.open.borrow_mut().insert(call, answer);
        let answer = match send(call) {
            true => timeout(limit, answered).await.ok().and_then(Result::ok),
            false => None,
        };
        self.open.borrow_mut().remove(&call);
        answer
    }

    /// Hands over an answer; whoever asked may have given up.
    pub(super) fn complete(&self, call: u64, answer: T) {
        let asked = self.open.borrow_mut().remove(&call);
        asked.map(|asked| asked.send(answer));
    }

    /// Whether a host is not asked now because it did not answer.
    pub(super) fn is_silent(&self, host: &str, now: BootInstant) -> bool {
        self.silent.borrow().get(host).is_some_and(|until| now < *until)
    }

    /// Notes that a host did not answer and is not asked until an instant.
    pub(super) fn note_silent(&self, host: &str, until: BootInstant) {
        self.silent.borrow_mut().insert(host.to_owned(), until);
    }
}

impl PeerSender {
    /// Sends a message if the socket is open and its line is not full. It may be lost on its way.
    pub(super) fn send(&self, to: SocketAddr, message: PeerMessage) -> bool {
        let waiting = self.waiting.borrow();
        waiting.as_ref().is_some_and(|waiting| waiting.try_send((to, message)).is_ok())
    }
}

/// Reads the fleet's secret, or creates it if this is the first host.
pub(super) async fn load_secret(host: &HostContext) {
    loop {
        let page = read_table(host, FLEET_TABLE).await;
        let row = page.rows.into_iter().find(|row| row.key == SECRET_KEY);
        if let Some(secret) = row.and_then(|row| row.value) {
            // It is loaded once.
            let _ = host.secret.set(secret);
            return;
        }
        let secret: [u8; SECRET_BYTES] = rand::random();
        let name = RowName { table: FLEET_TABLE, key: SECRET_KEY };
        let value = STANDARD.encode(secret).into_bytes();
        let transaction = RowTransaction { expected: vec![(name, 0)], writes: vec![(name, value)] };
        let result = host.store.transact(&transaction, WRITE_LIMIT).await;
        host.note_store("secret", &result);
        if result.is_err() {
            host.store_pause().await;
        }
    }
}

fn code(secret: &[u8], body: &[u8]) -> Vec<u8> {
    // A key of any length is accepted.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(secret) else { return Vec::new() };
    mac.update(body);
    mac.finalize().into_bytes()[..CODE_BYTES].to_vec()
}

/// A message with its code.
pub(super) fn encode(secret: &[u8], message: &impl Serialize) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(message).ok()?;
    Some([code(secret, &body), body].concat())
}

/// A message whose code is right.
pub(super) fn decode<T: DeserializeOwned>(secret: &[u8], datagram: &[u8]) -> Option<T> {
    let (found, body) = datagram.split_at_checked(CODE_BYTES)?;
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(body);
    mac.verify_truncated_left(found).ok()?;
    postcard::from_bytes(body).ok()
}

/// Answers and sends messages until the process ends.
pub(super) async fn serve(host: Rc<HostContext>, socket: UdpSocket) {
    let Some(secret) = host.secret.get() else { return };
    let (sender, mut waiting) = mpsc::channel(MAX_WAITING);
    host.peers.waiting.replace(Some(sender));
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    let answer = receive(&host, secret, &buffer[..length], from);
                    if let Some(datagram) = answer.and_then(|answer| encode(secret, &answer)) {
                        // A lost answer is one that the asking host does not wait for.
                        let _ = socket.send_to(&datagram, from).await;
                    }
                }
                Err(error) => {
                    journal::request("peer_socket", || json!({ "reason": error.to_string() }));
                    sleep(SOCKET_PAUSE).await;
                }
            },
            message = waiting.recv() => {
                let Some((to, message)) = message else { return };
                if let Some(datagram) = encode(secret, &message) {
                    // As above.
                    let _ = socket.send_to(&datagram, to).await;
                }
            }
        }
    }
}

/// Takes a datagram; the result is to be sent back.
fn receive(
    host: &Rc<HostContext>,
    secret: &[u8],
    datagram: &[u8],
    from: SocketAddr,
) -> Option<PeerMessage> {
    match decode(secret, datagram) {
        Some(PeerMessage::Ask { loan, customer, tokens }) => {
            let tokens = lending::lend(host, &customer, tokens);
            return Some(PeerMessage::Give { loan, customer, tokens });
        }
        Some(PeerMessage::Give { loan, customer, tokens }) => {
            lending::take(host, loan, &customer, tokens);
        }
        Some(PeerMessage::Suspect { endpoint }) => doubt::note(host, endpoint),
        Some(PeerMessage::AskRenewal { call, request }) => {
            relay::enqueue(host, call, Some(from), request);
        }
        Some(PeerMessage::Renewal { call, answer }) => host.renewals.desk.complete(call, answer),
        Some(PeerMessage::Observed { observations }) => floors::adopt(host, &observations),
        Some(PeerMessage::AskObservations { call, group, age_ms }) => {
            return Some(floors::answer(host, call, &group, age_ms));
        }
        Some(PeerMessage::Observations { call, observations }) => {
            host.floors.complete(call, observations);
        }
        Some(PeerMessage::Marked { version, record }) => {
            takeover::obey(host, from, GroupEntry { version, record });
        }
        Some(PeerMessage::Confirmed { group, version, host: name, word }) => {
            let confirmation =
                HostConfirmation::new(word.incarnation, GrantedStays::from(word), boot_now());
            takeover::note_confirmation(host, &group, version, &name, confirmation);
        }
        Some(PeerMessage::AskStay { host: name, versions, asked_us }) => {
            return consent::answer(host, &name, &versions, asked_us);
        }
        Some(PeerMessage::Stay { host: name, domain, asked_us }) => {
            consent::note(host, &name, &domain, BootInstant::from_micros(asked_us));
        }
        Some(PeerMessage::Ping) => return Some(PeerMessage::Pong),
        Some(PeerMessage::Pong) => host.isolation.borrow_mut().note_answer(boot_now()),
        None => journal::request("peer_unreadable", || json!({ "bytes": datagram.len() })),
    }
    None
}

/// The address at which another host takes messages, if it is known.
pub(super) fn address_of(host: &HostContext, name: &str) -> Option<SocketAddr> {
    let book = host.book.borrow();
    let entry = book.hosts.iter().find(|entry| entry.record.host == name);
    entry.map(|entry| entry.record.peers)
}

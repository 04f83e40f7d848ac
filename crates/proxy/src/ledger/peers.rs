//! Messages between hosts: UDP datagrams authenticated with the fleet's secret.

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
use tanagerdeal_core::ledger::absence::SharedAbsence;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::extension::GrantedExtensions;
use tanagerdeal_core::ledger::failover::HostConfirmation;
use tanagerdeal_core::ledger::group::{GroupEntry, GroupRecord};
use tanagerdeal_core::ledger::position::SharedObservation;
use tanagerdeal_core::ledger::renewal::{RenewalAnswer, RenewalRequest};
use tanagerdeal_core::ledger::usage::HostUsage;
use tanagerdeal_wire::wire_type;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::context::{HostContext, boot_now};
use super::follow::read_table;
use super::lease::WRITE_TIMEOUT;
use super::{extension, failover, journal, observations, relay, suspicion, token_loans, usage};

/// Store table of fleet-wide values.
pub(super) const FLEET_TABLE: &str = "fleet";
const SECRET_KEY: &str = "secret";
/// Length of the secret in bytes.
const SECRET_BYTES: usize = 32;
/// Length in bytes of the authentication code at the start of a datagram.
const MAC_BYTES: usize = 16;
/// Longest accepted datagram; a renewal request with eight suspects has about 400 bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Encoding of the fields that messages of earlier builds may lack at their end.
const ABSENT_FIELDS: [u8; 4] = [0; 4];
/// Pause after a socket error.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(40);
/// Capacity of the queue of outgoing messages.
const MAX_QUEUED: usize = 256;

wire_type! {
    /// Content of a confirmation that a process no longer uses a primary.
    pub(super) struct ConfirmationPayload {
        /// Incarnation of the confirming process.
        pub(super) incarnation: u64,
        /// Hosts with a lease extension granted by the process, and the longest remaining time of
        /// each in milliseconds.
        pub(super) extensions: Vec<(String, u32)>,
        /// Longest remaining time of lease extensions granted by an earlier process of the host, in
        /// milliseconds.
        pub(super) unknown_ms: u32,
        /// The newest position of the old primary that the process knows. Earlier builds lack it.
        pub(super) newest: Option<SharedObservation>,
        /// Endpoints of the group that the process knows to be away. Earlier builds lack them.
        pub(super) absent: Vec<SharedAbsence>,
    }

    /// A message between hosts. It is encoded with postcard, so the order of the variants is part
    /// of the format.
    pub(super) enum PeerMessage {
        /// Requests a loan of tokens of a customer's rate.
        RequestTokens { loan: u64, customer: String, tokens: u64 },
        /// Reports that the sender gets no reply from a primary.
        PrimarySuspected { endpoint: String },
        /// Response to a loan request; 0 tokens if nothing is lent.
        GiveTokens { loan: u64, customer: String, tokens: u64 },
        /// Requests that a relay renew the sender's lease.
        RequestRenewal { call: u64, request: RenewalRequest },
        /// Response to a renewal request; `None` if the relay did not renew.
        Renewal { call: u64, answer: Option<RenewalAnswer> },
        /// Reports the sender's observations of the primaries of some groups to a relay.
        Observed { observations: Vec<(String, SharedObservation)> },
        /// Requests a relay's observations of a group's primary.
        RequestObservations { call: u64, group: String, age_ms: u64 },
        /// Response with observations of a primary, oldest first.
        Observations { call: u64, observations: Vec<SharedObservation> },
        /// Sends a group row that the receiver may not know, usually one that marks its primary as
        /// being replaced, and requests a confirmation.
        GroupUpdate { version: u64, record: GroupRecord },
        /// Confirms that a process of a host no longer uses the primary under versions of the group
        /// row before this one.
        GroupUpdateConfirmed { group: String, version: u64, host: String, payload: ConfirmationPayload },
        /// Requests a lease extension for a host that knows these versions of the group rows. The
        /// instant is from the sender's own clock, and is returned in the response.
        RequestLeaseExtension { host: String, versions: Vec<(u64, u64)>, asked_us: u64 },
        /// Grants a lease extension.
        LeaseExtension { host: String, domain: String, asked_us: u64 },
        /// Tests whether a host is reachable.
        Ping,
        /// Response to a ping.
        Pong,
        /// Reports the sender's totals of a window to a relay.
        Usage { usage: HostUsage },
    }
}

impl ConfirmationPayload {
    /// Encodes the remaining times of the granted lease extensions.
    pub(super) fn new(
        incarnation: u64,
        granted: GrantedExtensions,
        newest: Option<SharedObservation>,
        absent: Vec<SharedAbsence>,
    ) -> Self {
        // Rounded up, so that an extension never appears to end early.
        let millis = |left: Duration| u32::try_from(left.as_millis() + 1).unwrap_or(u32::MAX);
        let extensions = granted.extensions.into_iter().map(|(host, left)| (host, millis(left)));
        Self {
            incarnation,
            extensions: extensions.collect(),
            unknown_ms: millis(granted.unknown),
            newest,
            absent,
        }
    }
}

impl From<ConfirmationPayload> for GrantedExtensions {
    fn from(payload: ConfirmationPayload) -> Self {
        let span = |millis: u32| Duration::from_millis(u64::from(millis));
        let extensions = payload.extensions.into_iter().map(|(host, left)| (host, span(left)));
        Self { extensions: extensions.collect(), unknown: span(payload.unknown_ms) }
    }
}

/// Requests to other hosts that wait for a response, and hosts that are not asked because they did
/// not respond.
pub(super) struct PendingRequests<T> {
    pending: RefCell<HashMap<u64, oneshot::Sender<T>>>,
    unresponsive_until: RefCell<HashMap<String, BootInstant>>,
}

/// Queue of outgoing messages; absent until the socket is served.
#[derive(Default)]
pub(super) struct PeerSender {
    queue: RefCell<Option<mpsc::Sender<(SocketAddr, PeerMessage)>>>,
}

impl<T> Default for PendingRequests<T> {
    fn default() -> Self {
        Self { pending: RefCell::default(), unresponsive_until: RefCell::default() }
    }
}

impl<T> PendingRequests<T> {
    /// Sends a request and waits up to `limit` for its response. `send` gets the call number that
    /// the response must carry, and returns whether the request was sent.
    pub(super) async fn request(
        &self,
        limit: Duration,
        send: impl FnOnce(u64) -> bool,
    ) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        let call: u64 = rand::random();
        self.pending.borrow_mut().insert(call, answer);
        let answer = match send(call) {
            true => timeout(limit, answered).await.ok().and_then(Result::ok),
            false => None,
        };
        self.pending.borrow_mut().remove(&call);
        answer
    }

    /// Delivers a response. It is dropped if the request has timed out.
    pub(super) fn complete(&self, call: u64, answer: T) {
        let asked = self.pending.borrow_mut().remove(&call);
        asked.map(|asked| asked.send(answer));
    }

    /// Whether requests to a host are suspended because it did not respond.
    pub(super) fn is_unresponsive(&self, host: &str, now: BootInstant) -> bool {
        self.unresponsive_until.borrow().get(host).is_some_and(|until| now < *until)
    }

    /// Suspends requests to a host that did not respond until an instant.
    pub(super) fn mark_unresponsive(&self, host: &str, until: BootInstant) {
        self.unresponsive_until.borrow_mut().insert(host.to_owned(), until);
    }
}

impl PeerSender {
    /// Queues a message. Returns `false` if the socket is not open or the queue is full. Delivery
    /// is not guaranteed.
    pub(super) fn send(&self, to: SocketAddr, message: PeerMessage) -> bool {
        let queue = self.queue.borrow();
        queue.as_ref().is_some_and(|queue| queue.try_send((to, message)).is_ok())
    }
}

/// Reads the fleet's secret, or creates it if this is the first host.
pub(super) async fn load_secret(host: &HostContext) {
    loop {
        let page = read_table(host, FLEET_TABLE).await;
        let row = page.rows.into_iter().find(|row| row.key == SECRET_KEY);
        if let Some(secret) = row.and_then(|row| row.value) {
            // It is loaded only once, so the cell is empty.
            let _ = host.secret.set(secret);
            return;
        }
        let secret: [u8; SECRET_BYTES] = rand::random();
        let name = RowName { table: FLEET_TABLE, key: SECRET_KEY };
        let value = STANDARD.encode(secret).into_bytes();
        let transaction = RowTransaction { expected: vec![(name, 0)], writes: vec![(name, value)] };
        let result = host.store.transact(&transaction, WRITE_TIMEOUT).await;
        host.record_store_call("secret", &result);
        if result.is_err() {
            host.wait_for_store().await;
        }
    }
}

pub(super) fn authentication_code(secret: &[u8], body: &[u8]) -> Vec<u8> {
    // HMAC accepts keys of any length.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(secret) else { return Vec::new() };
    mac.update(body);
    mac.finalize().into_bytes()[..MAC_BYTES].to_vec()
}

/// Encodes a message and prepends its authentication code. `None` if it cannot be encoded.
pub(super) fn encode(secret: &[u8], message: &impl Serialize) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(message).ok()?;
    Some([authentication_code(secret, &body), body].concat())
}

/// Decodes a datagram. `None` if its authentication code or its content is invalid.
pub(super) fn decode<T: DeserializeOwned>(secret: &[u8], datagram: &[u8]) -> Option<T> {
    let (received_code, body) = datagram.split_at_checked(MAC_BYTES)?;
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(body);
    mac.verify_truncated_left(received_code).ok()?;
    // Messages of earlier builds end without `ConfirmationPayload::absent` and `newest`, or without the last
    // fields of a group's row: `GroupRecord::former_starts`, before that `GroupRecord::verified_era`
    // and `GroupRecord::term_start`, and before these `PendingChange::promotion`.
    let with_absent =
        |count: usize| postcard::from_bytes(&[body, &ABSENT_FIELDS[..count]].concat());
    (0..=ABSENT_FIELDS.len()).find_map(|count| with_absent(count).ok())
}

/// Receives, answers and sends messages until the process ends.
pub(super) async fn serve(host: Rc<HostContext>, socket: UdpSocket) {
    let Some(secret) = host.secret.get() else { return };
    let (sender, mut queue) = mpsc::channel(MAX_QUEUED);
    host.peers.queue.replace(Some(sender));
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    let answer = handle_datagram(&host, secret, &buffer[..length], from);
                    if let Some(datagram) = answer.and_then(|answer| encode(secret, &answer)) {
                        // The sender of the request handles a lost response.
                        let _ = socket.send_to(&datagram, from).await;
                    }
                }
                Err(error) => {
                    journal::request("peer_socket", || json!({ "reason": error.to_string() }));
                    sleep(SOCKET_ERROR_PAUSE).await;
                }
            },
            message = queue.recv() => {
                let Some((to, message)) = message else { return };
                if let Some(datagram) = encode(secret, &message) {
                    // Callers of `PeerSender::send` handle lost messages.
                    let _ = socket.send_to(&datagram, to).await;
                }
            }
        }
    }
}

/// Processes a datagram. Returns the response to its sender, if there is one.
fn handle_datagram(
    host: &Rc<HostContext>,
    secret: &[u8],
    datagram: &[u8],
    from: SocketAddr,
) -> Option<PeerMessage> {
    match decode(secret, datagram) {
        Some(PeerMessage::RequestTokens { loan, customer, tokens }) => {
            let tokens = token_loans::lend(host, &customer, tokens);
            return Some(PeerMessage::GiveTokens { loan, customer, tokens });
        }
        Some(PeerMessage::GiveTokens { loan, customer, tokens }) => {
            token_loans::receive_tokens(host, loan, &customer, tokens);
        }
        Some(PeerMessage::PrimarySuspected { endpoint }) => {
            suspicion::record_report(host, endpoint)
        }
        Some(PeerMessage::RequestRenewal { call, request }) => {
            relay::enqueue(host, call, Some(from), request);
        }
        Some(PeerMessage::Renewal { call, answer }) => host.renewals.pending.complete(call, answer),
        Some(PeerMessage::Observed { observations }) => observations::record(host, &observations),
        Some(PeerMessage::RequestObservations { call, group, age_ms }) => {
            return Some(observations::respond(host, call, &group, age_ms));
        }
        Some(PeerMessage::Observations { call, observations }) => {
            host.observations.complete(call, observations);
        }
        Some(PeerMessage::GroupUpdate { version, record }) => {
            failover::confirm_group_update(host, from, GroupEntry { version, record });
        }
        Some(PeerMessage::GroupUpdateConfirmed { group, version, host: name, payload }) => {
            let newest = payload.newest;
            newest.iter().for_each(|newest| host.state.borrow_mut().note_last(&group, newest));
            for absent in &payload.absent {
                host.state.borrow_mut().endpoints.adopt_absence(&group, absent, boot_now());
            }
            let confirmation = HostConfirmation::new(
                payload.incarnation,
                GrantedExtensions::from(payload),
                boot_now(),
            );
            failover::record_confirmation(host, &group, version, &name, confirmation);
        }
        Some(PeerMessage::RequestLeaseExtension { host: name, versions, asked_us }) => {
            return extension::respond(host, &name, &versions, asked_us);
        }
        Some(PeerMessage::LeaseExtension { host: name, domain, asked_us }) => {
            extension::record_extension(host, &name, &domain, BootInstant::from_micros(asked_us));
        }
        Some(PeerMessage::Ping) => return Some(PeerMessage::Pong),
        Some(PeerMessage::Pong) => host.isolation.borrow_mut().note_answer(boot_now()),
        Some(PeerMessage::Usage { usage }) => usage::record(host, &usage),
        None => journal::request("peer_unreadable", || json!({ "bytes": datagram.len() })),
    }
    None
}

/// The address at which another host receives messages, if it is known.
pub(super) fn peer_address(host: &HostContext, name: &str) -> Option<SocketAddr> {
    let state = host.state.borrow();
    let entry = state.hosts.iter().find(|entry| entry.record.host == name);
    entry.map(|entry| entry.record.peers)
}

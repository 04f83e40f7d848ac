//! Messages between hosts: loans of single tokens, and doubts about primaries, by datagrams that carry a code under the fleet's secret.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, Mac as _};
use serde_json::json;
use sha2::Sha256;
use tanagerdeal_adapter::store::{RowName, RowTransaction};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_wire::wire_type;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::context::{HostContext, boot_now};
use super::follow::{RETRY_PAUSE, read_table};
use super::journal;
use super::keeper::WRITE_LIMIT;

/// Table of what all hosts share, and the key of the secret in it.
const FLEET_TABLE: &str = "fleet";
const SECRET_KEY: &str = "secret";
/// Bytes of the secret.
const SECRET_BYTES: usize = 32;
/// Bytes of the code that a datagram begins with.
const CODE_BYTES: usize = 16;
/// Longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 1_024;
/// Time that a lender has to answer; the failure domains of the users are 3 ms apart there and
/// back, and the processor of a host may be busy for some milliseconds.
const LOAN_LIMIT: Duration = Duration::from_millis(40);
/// Time for which a host that did not answer is not asked again.
const SILENT_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which a host looks at a primary that another one suspects; a suspicion needs 0.6 s.
const DOUBT_SPAN: Duration = Duration::from_millis(2_500);
/// Messages that wait to be sent.
const MAX_WAITING: usize = 256;

wire_type! {
    /// A message between hosts.
    enum PeerMessage {
        /// Asks for tokens of a customer's rate.
        Ask { loan: u64, customer: String, tokens: u64 },
        /// Tells that the sender gets no reply from a primary.
        Suspect { endpoint: String },
        /// Gives tokens.
        Give { loan: u64, customer: String, tokens: u64 },
    }
}

/// Loans that were asked for and not answered yet.
#[derive(Default)]
pub(super) struct LoanDesk {
    open: RefCell<HashMap<u64, oneshot::Sender<u64>>>,
    sender: RefCell<Option<mpsc::Sender<(SocketAddr, PeerMessage)>>>,
    /// Hosts that did not answer, and until when they are not asked again.
    silent: RefCell<HashMap<String, BootInstant>>,
}

impl LoanDesk {
    fn is_silent(&self, host: &str, now: BootInstant) -> bool {
        self.silent.borrow().get(host).is_some_and(|until| now < *until)
    }

    fn note_silent(&self, host: &str) {
        self.silent.borrow_mut().insert(host.to_owned(), boot_now().after(SILENT_PAUSE));
    }
}

/// Reads the fleet's secret, or creates it if this is the first host.
pub(super) async fn fleet_secret(host: &HostContext) -> Vec<u8> {
    loop {
        let page = read_table(host, FLEET_TABLE).await;
        let row = page.rows.into_iter().find(|row| row.key == SECRET_KEY);
        if let Some(secret) = row.and_then(|row| row.value) {
            return secret;
        }
        let secret: [u8; SECRET_BYTES] = rand::random();
        let name = RowName { table: FLEET_TABLE, key: SECRET_KEY };
        let value = STANDARD.encode(secret).into_bytes();
        let transaction = RowTransaction { expected: vec![(name, 0)], writes: vec![(name, value)] };
        let result = host.store.transact(&transaction, WRITE_LIMIT).await;
        host.note_store("secret", &result);
        if result.is_err() {
            sleep(RETRY_PAUSE).await;
        }
    }
}

fn code(secret: &[u8], body: &[u8]) -> Vec<u8> {
    // A key of any length is accepted.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(secret) else { return Vec::new() };
    mac.update(body);
    mac.finalize().into_bytes()[..CODE_BYTES].to_vec()
}

fn encode(secret: &[u8], message: &PeerMessage) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(message).ok()?;
    Some([code(secret, &body), body].concat())
}

fn decode(secret: &[u8], datagram: &[u8]) -> Option<PeerMessage> {
    let (found, body) = datagram.split_at_checked(CODE_BYTES)?;
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(body);
    mac.verify_truncated_left(found).ok()?;
    postcard::from_bytes(body).ok()
}

/// Answers and sends messages until the process ends.
pub(super) async fn serve(host: Rc<HostContext>, socket: UdpSocket, secret: Vec<u8>) {
    let (sender, mut waiting) = mpsc::channel(MAX_WAITING);
    host.loans.sender.replace(Some(sender));
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    let answer = receive(&host, &secret, &buffer[..length]);
                    if let Some(datagram) = answer.and_then(|answer| encode(&secret, &answer)) {
                        // A lost answer is one that the asking host does not wait for.
                        let _ = socket.send_to(&datagram, from).await;
                    }
                }
                Err(error) => {
                    journal::request("loan_socket", || json!({ "reason": error.to_string() }));
                    sleep(LOAN_LIMIT).await;
                }
            },
            message = waiting.recv() => {
                let Some((to, message)) = message else { return };
                if let Some(datagram) = encode(&secret, &message) {
                    // As above.
                    let _ = socket.send_to(&datagram, to).await;
                }
            }
        }
    }
}

fn receive(host: &HostContext, secret: &[u8], datagram: &[u8]) -> Option<PeerMessage> {
    match decode(secret, datagram) {
        Some(PeerMessage::Ask { loan, customer, tokens }) => {
            let now = boot_now();
            let mut book = host.book.borrow_mut();
            let tokens = match book.lease.is_valid(now) {
                true => book.quota.lend(&customer, tokens, now),
                false => 0,
            };
            Some(PeerMessage::Give { loan, customer, tokens })
        }
        Some(PeerMessage::Give { loan, customer, tokens }) => {
            // The lender has given the tokens up, so they count also when they come late.
            if tokens > 0 {
                host.book.borrow_mut().quota.receive(&customer, tokens, boot_now());
            }
            let asked = host.loans.open.borrow_mut().remove(&loan);
            // Whoever asked may have given up.
            asked.map(|asked| asked.send(tokens));
            None
        }
        Some(PeerMessage::Suspect { endpoint }) => {
            let until = boot_now().after(DOUBT_SPAN);
            host.doubts.borrow_mut().insert(endpoint, until);
            None
        }
        None => {
            journal::request("loan_unreadable", || json!({ "bytes": datagram.len() }));
            None
        }
    }
}

/// Borrows tokens of a customer's rate for this host. Returns whether it got any.
pub(super) async fn borrow(host: &HostContext, customer: &str) -> bool {
    let plan = {
        let book = host.book.borrow();
        let now = boot_now();
        let is_silent = |name: &str| host.loans.is_silent(name, now);
        book.quota.loan(customer, &book.share_hosts(), &book.domain, &is_silent, now)
    };
    let Some(plan) = plan else { return false };
    for lender in &plan.lenders {
        let tokens = ask(host, lender, customer, plan.tokens).await;
        if tokens > 0 {
            return true;
        }
    }
    host.book.borrow_mut().quota.receive(customer, 0, boot_now());
    false
}

/// Tells all other hosts that this one gets no reply from a primary, so that those without traffic
/// to it look as well.
pub(super) fn spread_doubt(host: &HostContext, endpoint: &str) {
    let Some(sender) = host.loans.sender.borrow().clone() else { return };
    let book = host.book.borrow();
    for entry in book.hosts.iter().filter(|entry| entry.record.host != book.host) {
        let message = PeerMessage::Suspect { endpoint: endpoint.to_owned() };
        // A host that is not told notices by its own traffic, or not at all.
        let _ = sender.try_send((entry.record.peers, message));
    }
}

async fn ask(host: &HostContext, lender: &str, customer: &str, tokens: u64) -> u64 {
    let address = {
        let book = host.book.borrow();
        let entry = book.hosts.iter().find(|entry| entry.record.host == lender);
        entry.map(|entry| entry.record.peers)
    };
    let sender = host.loans.sender.borrow().clone();
    let (Some(address), Some(sender)) = (address, sender) else { return 0 };
    let loan: u64 = rand::random();
    let (answer, answered) = oneshot::channel();
    host.loans.open.borrow_mut().insert(loan, answer);
    let message = PeerMessage::Ask { loan, customer: customer.to_owned(), tokens };
    let is_sent = sender.try_send((address, message)).is_ok();
    let answer = match is_sent {
        true => timeout(LOAN_LIMIT, answered).await.ok().and_then(Result::ok),
        false => Some(0),
    };
    host.loans.open.borrow_mut().remove(&loan);
    if answer.is_none() {
        host.loans.note_silent(lender);
    }
    answer.unwrap_or(0)
}

//! Connections of this host to pool hosts: the requesting side.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::EndpointKey;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::frames::{self, FrameSink, FrameStream, LinkError};
use super::message::{Request, Response, StatementResult};
use crate::ledger::context::{HostContext, boot_now, sleep_until};
use crate::ledger::journal;

/// Time without a message from a pool host, while a statement is outstanding, after which it is
/// asked whether it is running.
const PING_AFTER: Duration = Duration::from_millis(100);
/// The same, after which the pool host counts as silent. A host whose processor share is used up
/// pauses for up to a tenth of a second.
const SILENT_AFTER: Duration = Duration::from_millis(300);
/// Time for which a pool host that was silent or could not be reached is not used.
const UNRESPONSIVE_TERM: Duration = Duration::from_secs(3);
/// Time for which a pool host that is shutting down is not used: its row shows it by then.
const LEAVING_TERM: Duration = Duration::from_secs(10);
/// Time without a statement after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// References to a connection that no transaction uses.
const OWN_REFERENCES: usize = 2;

/// What is known of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LinkCondition {
    /// Messages arrive.
    Working,
    /// The other host does not reply.
    Silent,
    /// The connection is closed.
    Lost,
}

/// Reason why a request has no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum CallError {
    /// The connection was lost after the request was sent.
    #[error("the connection to the pool host was lost")]
    Lost,
    /// The pool host does not reply.
    #[error("the pool host does not reply")]
    Silent,
    /// There was no result before the deadline.
    #[error("no reply in time")]
    TimedOut,
}

/// A connection to a pool host, shared by all requests to it.
pub(super) struct HostLink {
    outgoing: mpsc::UnboundedSender<Request>,
    waiting: RefCell<HashMap<u64, PendingCall>>,
    next_call: Cell<u64>,
    received_at: Cell<BootInstant>,
    used_at: Cell<BootInstant>,
    condition: watch::Sender<LinkCondition>,
}

struct PendingCall {
    endpoint: EndpointKey,
    sent_at: BootInstant,
    result: oneshot::Sender<StatementResult>,
}

/// Connections to pool hosts by address.
#[derive(Default)]
pub(in crate::ledger) struct HostLinks {
    links: RefCell<HashMap<SocketAddr, Rc<HostLink>>>,
    opening: RefCell<HashMap<SocketAddr, Rc<tokio::sync::Mutex<()>>>>,
    unresponsive_until: RefCell<HashMap<String, BootInstant>>,
    declined_until: RefCell<HashMap<(String, EndpointKey), BootInstant>>,
    served: Cell<usize>,
}

/// A call of another host that this host is carrying out.
pub(super) struct ServedCall(Rc<HostContext>);

impl Drop for ServedCall {
    fn drop(&mut self) {
        let served = &self.0.links.served;
        served.set(served.get() - 1);
    }
}

impl HostLinks {
    /// Whether a pool host is not used for an endpoint at present.
    pub(super) fn is_excluded(&self, name: &str, endpoint: EndpointKey, now: BootInstant) -> bool {
        let declined = self.declined_until.borrow();
        self.is_unresponsive(name, now)
            || declined
                .iter()
                .any(|((host, key), until)| host == name && *key == endpoint && now < *until)
    }

    /// Does not use a pool host for an endpoint until an instant.
    pub(super) fn exclude_for(&self, name: &str, endpoint: EndpointKey, until: BootInstant) {
        let mut declined = self.declined_until.borrow_mut();
        let now = boot_now();
        declined.retain(|_, until| now < *until);
        declined.insert((name.to_owned(), endpoint), until);
    }

    /// Whether a pool host is not used because it did not respond.
    fn is_unresponsive(&self, name: &str, now: BootInstant) -> bool {
        self.unresponsive_until.borrow().get(name).is_some_and(|until| now < *until)
    }

    /// Does not use a pool host until an instant.
    fn exclude(&self, name: &str, until: BootInstant) {
        let mut excluded = self.unresponsive_until.borrow_mut();
        let now = boot_now();
        excluded.retain(|_, until| now < *until);
        let known = excluded.entry(name.to_owned()).or_insert(until);
        *known = until.max(*known);
    }

    /// Number of calls of other hosts that this host is carrying out.
    pub(in crate::ledger) fn served(&self) -> usize {
        self.served.get()
    }

    /// Counts a call of another host until the guard is dropped.
    pub(super) fn serving(host: &Rc<HostContext>) -> ServedCall {
        host.links.served.set(host.links.served.get() + 1);
        ServedCall(host.clone())
    }

    fn working(&self, address: SocketAddr) -> Option<Rc<HostLink>> {
        let links = self.links.borrow();
        let link = links.get(&address)?;
        (*link.condition.borrow() == LinkCondition::Working).then(|| link.clone())
    }
}

/// The connection to a pool host; opens it if needed.
///
/// # Errors
///
/// Fails when the host cannot be reached in time. It is then not used for a while.
pub(super) async fn link_to(
    host: &Rc<HostContext>,
    name: &str,
    address: SocketAddr,
) -> Result<Rc<HostLink>, LinkError> {
    if let Some(link) = host.links.working(address) {
        return Ok(link);
    }
    let opening = host.links.opening.borrow_mut().entry(address).or_default().clone();
    let _guard = opening.lock().await;
    // Another statement may have opened it, or failed to, meanwhile.
    match host.links.working(address) {
        Some(link) => return Ok(link),
        None if host.links.is_unresponsive(name, boot_now()) => return Err(LinkError::TimedOut),
        None => (),
    }
    let secret = host.secret.get().ok_or_else(|| LinkError::Closed("no secret".to_owned()))?;
    match frames::open(address, secret, &host.settings.host).await {
        Ok((sink, stream)) => Ok(start(host, name, address, sink, stream)),
        Err(error) => {
            mark_unresponsive(host, name, &error.to_string());
            Err(error)
        }
    }
}

fn mark_unresponsive(host: &HostContext, name: &str, reason: &str) {
    host.links.exclude(name, boot_now().after(UNRESPONSIVE_TERM));
    host.metrics.forwarded.with_label_values(&["unresponsive"]).inc();
    journal::event("forward", "unresponsive", json!({ "pool_host": name, "reason": reason }));
}

fn start(
    host: &Rc<HostContext>,
    name: &str,
    address: SocketAddr,
    sink: FrameSink,
    stream: FrameStream,
) -> Rc<HostLink> {
    let (outgoing, queue) = mpsc::unbounded_channel();
    let now = boot_now();
    let link = Rc::new(HostLink {
        outgoing,
        waiting: RefCell::default(),
        next_call: Cell::new(0),
        received_at: Cell::new(now),
        used_at: Cell::new(now),
        condition: watch::Sender::new(LinkCondition::Working),
    });
    host.links.links.borrow_mut().insert(address, link.clone());
    let (host, name, served) = (host.clone(), name.to_owned(), link.clone());
    spawn_local(async move {
        let ended = tokio::select! {
            error = frames::send_queued(sink, queue) => error,
            error = receive_responses(&host, &name, &served, stream) => error,
            error = watch_silence(&host, &name, &served) => error,
        };
        served.condition.send_replace(LinkCondition::Lost);
        served.waiting.borrow_mut().clear();
        let mut links = host.links.links.borrow_mut();
        if links.get(&address).is_some_and(|known| Rc::ptr_eq(known, &served)) {
            links.remove(&address);
        }
        journal::event(
            "forward",
            "closed",
            json!({ "pool_host": name, "reason": ended.to_string() }),
        );
    });
    link
}

async fn receive_responses(
    host: &HostContext,
    name: &str,
    link: &HostLink,
    mut stream: FrameStream,
) -> LinkError {
    loop {
        match stream.next().await {
            Ok(Response::Result { call, result, load }) => {
                link.note_received();
                let pending = link.waiting.borrow_mut().remove(&call);
                let mut host_state = host.state.borrow_mut();
                let endpoint = pending.as_ref().map(|pending| pending.endpoint);
                let state = endpoint.and_then(|key| host_state.endpoints.get_mut(key));
                if let Some((state, load)) = state.zip(load) {
                    state.note_load(load.into_hint(boot_now()));
                }
                // The request may have been given up.
                pending.map(|pending| pending.result.send(result));
            }
            Ok(Response::Pong) => link.note_received(),
            Ok(Response::Leaving) => {
                link.note_received();
                host.links.exclude(name, boot_now().after(LEAVING_TERM));
                journal::event("forward", "leaving", json!({ "pool_host": name }));
            }
            Err(error) => return error,
        }
    }
}

/// Asks a pool host that owes a response whether it is running, and notes when it does not reply.
/// Ends when the connection has been idle for long.
async fn watch_silence(host: &HostContext, name: &str, link: &Rc<HostLink>) -> LinkError {
    loop {
        let checked_at = boot_now();
        sleep_until(checked_at.after(PING_AFTER)).await;
        let now = boot_now();
        let oldest = link.waiting.borrow().values().map(|call| call.sent_at).min();
        // This process may have been suspended, with responses waiting to be read.
        let was_suspended = now.since(checked_at) > PING_AFTER * 2;
        let silence = oldest.map(|oldest| now.since(oldest.max(link.received_at.get())));
        match silence {
            Some(silence) if silence >= SILENT_AFTER && !was_suspended => {
                let former = link.condition.send_replace(LinkCondition::Silent);
                if former == LinkCondition::Working {
                    mark_unresponsive(host, name, "it does not reply");
                }
                link.send(Request::Ping);
            }
            Some(silence) if silence >= PING_AFTER => link.send(Request::Ping),
            None if is_idle(link, now) => {
                return LinkError::Closed("idle".to_owned());
            }
            _ => (),
        }
    }
}

/// Whether a connection has had no statement for long and holds no transaction. The list of
/// connections and the task that serves it keep it as well.
fn is_idle(link: &Rc<HostLink>, now: BootInstant) -> bool {
    now.since(link.used_at.get()) > IDLE_TIMEOUT && Rc::strong_count(link) <= OWN_REFERENCES
}

impl HostLink {
    fn note_received(&self) {
        self.received_at.set(boot_now());
        self.condition.send_if_modified(|condition| {
            let is_silent = *condition == LinkCondition::Silent;
            if is_silent {
                *condition = LinkCondition::Working;
            }
            is_silent
        });
    }

    /// Queues a request. If the connection has been lost, its result is missing as well.
    pub(super) fn send(&self, request: Request) {
        let _ = self.outgoing.send(request);
    }

    /// A number for a call of this connection.
    pub(super) fn new_call(&self) -> u64 {
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        call
    }

    /// Sends a request for an endpoint and waits for its result. Unless `waits_if_silent`, a pool
    /// host that does not reply ends the wait.
    ///
    /// # Errors
    ///
    /// Fails when there is no result. The request may have been carried out.
    pub(super) async fn call(
        &self,
        call: u64,
        endpoint: EndpointKey,
        request: Request,
        waits_if_silent: bool,
        deadline: BootInstant,
    ) -> Result<StatementResult, CallError> {
        let now = boot_now();
        let (result, received) = oneshot::channel();
        self.waiting.borrow_mut().insert(call, PendingCall { endpoint, sent_at: now, result });
        self.used_at.set(now);
        self.send(request);
        let mut condition = self.condition.subscribe();
        let ended = async {
            let ends = |condition: &LinkCondition| match condition {
                LinkCondition::Working => false,
                LinkCondition::Silent => !waits_if_silent,
                LinkCondition::Lost => true,
            };
            let ended = condition.wait_for(ends).await;
            match ended.map(|condition| *condition) {
                Ok(LinkCondition::Silent) => CallError::Silent,
                _ => CallError::Lost,
            }
        };
        let answered = timeout(deadline.since(now), async {
            tokio::select! {
                biased;
                result = received => result.map_err(|_| CallError::Lost),
                error = ended => Err(error),
            }
        });
        let result = answered.await.unwrap_or(Err(CallError::TimedOut));
        self.waiting.borrow_mut().remove(&call);
        self.used_at.set(boot_now());
        result
    }
}

//! Connections to one endpoint. A connection belongs to one customer, as endpoints are told who
//! connects, and all hosts share the connections that an endpoint accepts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::connections::{ConnectionBudget, connection_budget};
use tanagerdeal_core::ledger::endpoint::EndpointKey;
use tanagerdeal_core::ledger::statement::{FailureReason, SessionState};
use tanagerdeal_core::ledger::suspicion;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::context::{HostContext, boot_now};
use super::link::{EndpointLink, LinkError, LinkTarget};

/// Time that opening a connection may take; the users' endpoints need 12 ms when they are idle.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time without a new connection after the endpoint refused one because it has too many.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// Idle time after which a connection beyond the budget is closed.
const EXTRA_IDLE: Duration = Duration::from_millis(400);
/// Idle time after which any connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// Why no connection could be had.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum AcquireError {
    /// All connections were in use until the deadline.
    #[error("no free connection")]
    Full,
    /// The endpoint is gone, or another one answers at its address.
    #[error("the endpoint is gone")]
    Gone,
    /// The endpoint does not reply.
    #[error("{0}")]
    Unreachable(String),
}

/// Connections to one endpoint.
pub(super) struct EndpointPool {
    endpoint: EndpointKey,
    idle: RefCell<Vec<EndpointLink>>,
    open: Cell<usize>,
    connecting: Cell<usize>,
    full_until: Cell<BootInstant>,
    released: Notify,
}

/// A connection in use.
pub(super) struct BorrowedLink {
    pool: Rc<EndpointPool>,
    link: Option<EndpointLink>,
}

/// Counts a connection that is being opened until it is dropped.
struct OpeningGuard<'a>(&'a EndpointPool);

impl Drop for OpeningGuard<'_> {
    fn drop(&mut self) {
        self.0.connecting.set(self.0.connecting.get() - 1);
    }
}

impl BorrowedLink {
    /// The connection.
    pub(super) fn link(&mut self) -> Result<&mut EndpointLink, LinkError> {
        self.link.as_mut().ok_or_else(|| LinkError::Lost("connection was given back".to_owned()))
    }

    /// Endpoint of the connection.
    pub(super) fn endpoint(&self) -> EndpointKey {
        self.pool.endpoint
    }

    /// Gives the connection back for the next statement, unless the endpoint's session is in a
    /// transaction; it is closed then.
    pub(super) fn release_if_idle(mut self, state: SessionState) {
        if state != SessionState::Idle {
            return;
        }
        if let Some(mut link) = self.link.take() {
            link.idle_since = boot_now();
            self.pool.idle.borrow_mut().push(link);
            self.pool.released.notify_one();
        }
    }
}

impl Drop for BorrowedLink {
    fn drop(&mut self) {
        if self.link.take().is_some() {
            self.pool.note_closed();
        }
    }
}

impl EndpointPool {
    /// A pool without connections.
    pub(super) fn new(endpoint: EndpointKey) -> Self {
        Self {
            endpoint,
            idle: RefCell::default(),
            open: Cell::new(0),
            connecting: Cell::new(0),
            full_until: Cell::new(BootInstant::from_micros(0)),
            released: Notify::new(),
        }
    }

    fn note_closed(&self) {
        self.open.set(self.open.get() - 1);
        self.released.notify_one();
    }

    /// Takes the connection of a customer that was used last.
    fn take_idle(&self, customer: &str) -> Option<EndpointLink> {
        let mut idle = self.idle.borrow_mut();
        while let Some(index) = idle.iter().rposition(|link| link.customer == customer) {
            let mut link = idle.remove(index);
            if !link.is_broken() {
                return Some(link);
            }
            self.open.set(self.open.get() - 1);
        }
        None
    }

    /// Closes the idle connection that was not used for longest.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().enumerate().min_by_key(|(_, link)| link.idle_since);
        let Some(index) = oldest.map(|(index, _)| index) else { return false };
        let link = idle.remove(index);
        self.open.set(self.open.get() - 1);
        tokio::task::spawn_local(link.close());
        true
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn trim(&self, budget: ConnectionBudget, now: BootInstant) {
        loop {
            let oldest = self.idle.borrow().iter().map(|link| link.idle_since).min();
            let limit = match self.open.get() > budget.kept {
                true => EXTRA_IDLE,
                false => MAX_IDLE,
            };
            match oldest {
                Some(since) if now.since(since) > limit => self.close_oldest(),
                _ => return,
            };
        }
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        while self.close_oldest() {}
    }

    /// Whether a connection may be opened now.
    fn may_open(&self, budget: ConnectionBudget, now: BootInstant) -> bool {
        let open = self.open.get();
        now >= self.full_until.get()
            && match open {
                open if open < budget.kept => true,
                _ if self.close_oldest() => true,
                open => open < budget.most,
            }
    }
}

/// Connections to an endpoint that this host may keep, and that it may open at most.
pub(super) fn budget(host: &HostContext, endpoint: EndpointKey) -> ConnectionBudget {
    let book = host.book.borrow();
    let group = book.endpoints.get(endpoint).map(|state| state.record.group.as_str());
    let catalog = book.catalog.as_ref();
    let limits = group.zip(catalog).and_then(|(group, catalog)| catalog.group(group));
    let total = limits.map_or(1, |limits| limits.connections as usize);
    connection_budget(total, book.live_hosts())
}

/// Gets a connection for a customer, waiting until `deadline` for one.
///
/// # Errors
///
/// Fails when none is free in time or the endpoint cannot be reached. Nothing has run then.
pub(super) async fn acquire(
    host: &HostContext,
    endpoint: EndpointKey,
    customer: &str,
    deadline: BootInstant,
) -> Result<BorrowedLink, AcquireError> {
    let pool = host.pool(endpoint);
    let began_at = boot_now();
    loop {
        if let Some(link) = pool.take_idle(customer) {
            host.metrics.queue.observe(boot_now().since(began_at).as_secs_f64());
            return Ok(BorrowedLink { pool, link: Some(link) });
        }
        let budget = budget(host, endpoint);
        let now = boot_now();
        if is_probed(host, &pool, now) {
            return Err(AcquireError::Unreachable("the endpoint does not reply".to_owned()));
        }
        if pool.may_open(budget, now) {
            match open(host, &pool, customer).await {
                Err(AcquireError::Full) if boot_now() < deadline => (),
                result => return result,
            }
        }
        let limit = deadline.since(boot_now()).min(FULL_PAUSE);
        if limit.is_zero() {
            return Err(AcquireError::Full);
        }
        // Woken by a release, or after the pause of a full endpoint.
        let _ = timeout(limit, pool.released.notified()).await;
    }
}

/// Whether the endpoint is suspected and somebody else is trying it already.
fn is_probed(host: &HostContext, pool: &EndpointPool, now: BootInstant) -> bool {
    let book = host.book.borrow();
    let state = book.endpoints.get(pool.endpoint);
    pool.connecting.get() > 0 && state.is_some_and(|state| suspicion::is_suspect(state, now))
}

async fn open(
    host: &HostContext,
    pool: &Rc<EndpointPool>,
    customer: &str,
) -> Result<BorrowedLink, AcquireError> {
    let record = {
        let book = host.book.borrow();
        let state = book.endpoints.get(pool.endpoint).ok_or(AcquireError::Gone)?;
        state.record.clone()
    };
    let target =
        LinkTarget { address: record.address, group: &record.group, id: &record.id, customer };
    pool.open.set(pool.open.get() + 1);
    pool.connecting.set(pool.connecting.get() + 1);
    let guard = OpeningGuard(pool);
    // Dropping this before the link is there takes the connection off the count again.
    let mut borrowed = PendingLink { pool: pool.clone(), is_done: false };
    let opened = EndpointLink::open(target, CONNECT_LIMIT).await;
    drop(guard);
    let mut book = host.book.borrow_mut();
    let state = book.endpoints.get_mut(pool.endpoint);
    let outcome = match &opened {
        Ok(_) => "opened",
        Err(LinkError::Refused(_)) => "refused",
        Err(_) => "failed",
    };
    host.metrics.connections.with_label_values(&[outcome]).inc();
    match opened {
        Ok(link) => {
            borrowed.is_done = true;
            Ok(BorrowedLink { pool: pool.clone(), link: Some(link) })
        }
        Err(LinkError::Refused(FailureReason::TooManyConnections | FailureReason::Busy)) => {
            pool.full_until.set(boot_now().after(FULL_PAUSE));
            Err(AcquireError::Full)
        }
        Err(LinkError::Refused(_)) => Err(AcquireError::Gone),
        Err(error) => {
            if let Some(state) = state {
                state.note_failure(boot_now());
            }
            Err(AcquireError::Unreachable(error.to_string()))
        }
    }
}

/// A connection that counts as open while it is being opened.
struct PendingLink {
    pool: Rc<EndpointPool>,
    is_done: bool,
}

impl Drop for PendingLink {
    fn drop(&mut self) {
        if !self.is_done {
            self.pool.note_closed();
        }
    }
}

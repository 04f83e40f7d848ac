//! Connection pool of one endpoint. A connection serves only one customer, whose name is part of
//! the start-up message. The number of connections that an endpoint accepts is shared by all hosts.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::connections::{ConnectionBudget, connection_budget, pooled_budget};
use tanagerdeal_core::ledger::endpoint::EndpointKey;
use tanagerdeal_core::ledger::statement::{FailureReason, SessionState};
use tanagerdeal_core::ledger::suspicion;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::connection::{ConnectionError, ConnectionTarget, EndpointConnection};
use super::context::{HostContext, boot_now};
use super::gate::EndpointGate;

/// Time-out for opening a connection. An idle endpoint of the users accepts one in 12 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next attempt after the endpoint refused a connection because it is full.
const FULL_BACKOFF: Duration = Duration::from_millis(40);
/// Idle time after which a connection is closed while the pool exceeds its budget.
const EXCESS_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a pooled statement for which this host counts as the endpoint's pool host.
const POOLED_TERM: Duration = Duration::from_secs(5);
/// Idle time after which a connection is closed in any case.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Reason why no connection could be acquired.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum AcquireError {
    /// No connection became free, and none could be opened, before the deadline.
    #[error("no free connection")]
    Exhausted,
    /// The endpoint is no longer registered, or it refused the connection for a reason other than
    /// its load, such as another endpoint at the address.
    #[error("the endpoint is gone")]
    Gone,
    /// The endpoint could not be reached.
    #[error("{0}")]
    Unreachable(String),
    /// A pool host does not take the statement; another way may be open.
    #[error("{0}")]
    Declined(String),
    /// The endpoint has too much work for the statement to be served in time.
    #[error("the endpoint has too much work")]
    Backlog {
        /// When a statement that arrives again can be served.
        retry_after: Duration,
    },
}

/// Pool of the connections to one endpoint.
pub(super) struct EndpointPool {
    endpoint: EndpointKey,
    idle: RefCell<Vec<EndpointConnection>>,
    open_count: Cell<usize>,
    connecting_count: Cell<usize>,
    backoff_until: Cell<BootInstant>,
    /// Until when this host counts as the endpoint's pool host, as it runs the statements of others.
    pooled_until: Cell<BootInstant>,
    /// Queue of the statements for the endpoint, once there was one.
    gate: OnceCell<Rc<EndpointGate>>,
    released: Notify,
}

/// A connection taken from the pool. Dropping it closes the connection.
pub(super) struct PooledConnection {
    pool: Rc<EndpointPool>,
    connection: Option<EndpointConnection>,
}

/// Counts a connection attempt in progress until the guard is dropped.
struct ConnectingGuard<'a>(&'a EndpointPool);

impl Drop for ConnectingGuard<'_> {
    fn drop(&mut self) {
        self.0.connecting_count.set(self.0.connecting_count.get() - 1);
    }
}

impl PooledConnection {
    /// Returns the connection.
    pub(super) fn connection(&mut self) -> Result<&mut EndpointConnection, ConnectionError> {
        self.connection
            .as_mut()
            .ok_or_else(|| ConnectionError::Lost("connection was given back".to_owned()))
    }

    /// Returns the endpoint of the connection.
    pub(super) fn endpoint(&self) -> EndpointKey {
        self.pool.endpoint
    }

    /// Returns the connection to the pool if `state`, the state of the endpoint's session, is idle.
    /// Otherwise closes it, which ends the open transaction.
    pub(super) fn release_if_idle(mut self, state: SessionState) {
        if state != SessionState::Idle {
            return;
        }
        if let Some(mut connection) = self.connection.take() {
            connection.idle_since = boot_now();
            self.pool.idle.borrow_mut().push(connection);
            self.pool.released.notify_one();
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.record_closed();
        }
    }
}

impl EndpointPool {
    /// Creates an empty pool.
    pub(super) fn new(endpoint: EndpointKey) -> Self {
        Self {
            endpoint,
            idle: RefCell::default(),
            open_count: Cell::new(0),
            connecting_count: Cell::new(0),
            backoff_until: Cell::new(BootInstant::from_micros(0)),
            pooled_until: Cell::new(BootInstant::from_micros(0)),
            gate: OnceCell::new(),
            released: Notify::new(),
        }
    }

    /// Records that a statement was run here because this host is the endpoint's pool host.
    pub(super) fn note_forwarded(&self, now: BootInstant) {
        self.pooled_until.set(now.after(POOLED_TERM));
    }

    /// Whether this host is the endpoint's pool host.
    pub(super) fn is_pooled(&self, now: BootInstant) -> bool {
        now < self.pooled_until.get()
    }

    /// The queue of the statements for the endpoint `id`, which has `slots` slots.
    pub(super) fn gate(&self, id: &str, slots: u32) -> Rc<EndpointGate> {
        self.gate.get_or_init(|| EndpointGate::start(id, slots)).clone()
    }

    /// The same, once there was a statement.
    pub(super) fn known_gate(&self) -> Option<&Rc<EndpointGate>> {
        self.gate.get()
    }

    fn record_closed(&self) {
        self.open_count.set(self.open_count.get() - 1);
        self.released.notify_one();
    }

    /// Takes the most recently released connection of a customer, and drops broken ones.
    fn take_idle(&self, customer: &str) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(index) = idle.iter().rposition(|connection| connection.customer == customer)
        {
            let mut connection = idle.remove(index);
            if !connection.is_broken() {
                return Some(connection);
            }
            self.open_count.set(self.open_count.get() - 1);
        }
        None
    }

    /// Closes the connection that has been idle longest. Returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().enumerate().min_by_key(|(_, connection)| connection.idle_since);
        let Some(index) = oldest.map(|(index, _)| index) else { return false };
        let connection = idle.remove(index);
        self.open_count.set(self.open_count.get() - 1);
        tokio::task::spawn_local(connection.close());
        true
    }

    /// Closes connections whose idle time exceeds the limit.
    pub(super) fn trim(&self, budget: ConnectionBudget, now: BootInstant) {
        loop {
            let oldest = self.idle.borrow().iter().map(|connection| connection.idle_since).min();
            let limit = match self.open_count.get() > budget.kept {
                true => EXCESS_IDLE_TIMEOUT,
                false => IDLE_TIMEOUT,
            };
            match oldest {
                Some(since) if now.since(since) > limit => self.close_longest_idle(),
                _ => return,
            };
        }
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        while self.close_longest_idle() {}
    }

    /// Whether a connection may be opened now. At the budget, closes the connection that has been
    /// idle longest to make room for it.
    fn make_room(&self, budget: ConnectionBudget, now: BootInstant) -> bool {
        let open = self.open_count.get();
        now >= self.backoff_until.get()
            && match open {
                open if open < budget.kept => true,
                _ if self.close_longest_idle() => true,
                open => open < budget.most,
            }
    }
}

/// Returns how many connections to an endpoint this host may keep idle and may open at most.
pub(super) fn budget(host: &HostContext, endpoint: EndpointKey) -> ConnectionBudget {
    let host_state = host.state.borrow();
    let group = host_state.endpoints.get(endpoint).map(|state| state.record.group.as_str());
    let catalog = host_state.catalog.as_ref();
    let limits = group.zip(catalog).and_then(|(group, catalog)| catalog.group(group));
    let total = limits.map_or(1, |limits| limits.connections as usize);
    match host.pool(endpoint).is_pooled(boot_now()) {
        true => pooled_budget(total),
        false => connection_budget(total, host_state.live_hosts()),
    }
}

/// Acquires a connection for a customer, and waits for one until `deadline`.
///
/// # Errors
///
/// Fails when no connection is free in time or the endpoint cannot be reached. No statement has
/// been sent in either case.
pub(super) async fn acquire(
    host: &HostContext,
    endpoint: EndpointKey,
    customer: &str,
    deadline: BootInstant,
) -> Result<PooledConnection, AcquireError> {
    let pool = host.pool(endpoint);
    let began_at = boot_now();
    loop {
        if let Some(connection) = pool.take_idle(customer) {
            host.metrics.connection_wait.observe(boot_now().since(began_at).as_secs_f64());
            return Ok(PooledConnection { pool, connection: Some(connection) });
        }
        let budget = budget(host, endpoint);
        let now = boot_now();
        if is_being_probed(host, &pool, now) {
            return Err(AcquireError::Unreachable("the endpoint does not reply".to_owned()));
        }
        if pool.make_room(budget, now) {
            match open(host, &pool, customer).await {
                Err(AcquireError::Exhausted) if boot_now() < deadline => (),
                result => return result,
            }
        }
        let limit = deadline.since(boot_now()).min(FULL_BACKOFF);
        if limit.is_zero() {
            return Err(AcquireError::Exhausted);
        }
        // Wakes up on a release, or at the latest when the back-off of a full endpoint has ended.
        let _ = timeout(limit, pool.released.notified()).await;
    }
}

/// Whether the endpoint is suspected of having failed and another task is already connecting to it.
fn is_being_probed(host: &HostContext, pool: &EndpointPool, now: BootInstant) -> bool {
    let host_state = host.state.borrow();
    let state = host_state.endpoints.get(pool.endpoint);
    pool.connecting_count.get() > 0 && state.is_some_and(|state| suspicion::is_suspect(state, now))
}

async fn open(
    host: &HostContext,
    pool: &Rc<EndpointPool>,
    customer: &str,
) -> Result<PooledConnection, AcquireError> {
    let record = {
        let host_state = host.state.borrow();
        let state = host_state.endpoints.get(pool.endpoint).ok_or(AcquireError::Gone)?;
        state.record.clone()
    };
    let target = ConnectionTarget {
        address: record.address,
        group: &record.group,
        id: &record.id,
        customer,
    };
    pool.open_count.set(pool.open_count.get() + 1);
    pool.connecting_count.set(pool.connecting_count.get() + 1);
    let guard = ConnectingGuard(pool);
    // If this is dropped before the connection is established, it is no longer counted as open.
    let mut slot = ConnectionSlot { pool: pool.clone(), is_established: false };
    let opened = EndpointConnection::open(target, CONNECT_TIMEOUT).await;
    drop(guard);
    let mut host_state = host.state.borrow_mut();
    let state = host_state.endpoints.get_mut(pool.endpoint);
    let outcome = match &opened {
        Ok(_) => "opened",
        Err(ConnectionError::Refused(_)) => "refused",
        Err(_) => "failed",
    };
    host.metrics.connections.with_label_values(&[outcome]).inc();
    match opened {
        Ok(connection) => {
            slot.is_established = true;
            Ok(PooledConnection { pool: pool.clone(), connection: Some(connection) })
        }
        Err(ConnectionError::Refused(FailureReason::TooManyConnections | FailureReason::Busy)) => {
            // The endpoint replies, so it has not failed.
            if let Some(state) = state {
                state.forget_failures();
            }
            pool.backoff_until.set(boot_now().after(FULL_BACKOFF));
            Err(AcquireError::Exhausted)
        }
        Err(ConnectionError::Refused(_)) => Err(AcquireError::Gone),
        Err(error) => {
            if let Some(state) = state {
                state.note_failure(boot_now());
            }
            Err(AcquireError::Unreachable(error.to_string()))
        }
    }
}

/// Counts a connection as open while it is being established. Unless `is_established` is set, drop
/// reverts the count.
struct ConnectionSlot {
    pool: Rc<EndpointPool>,
    is_established: bool,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if !self.is_established {
            self.pool.record_closed();
        }
    }
}

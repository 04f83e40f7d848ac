//! Pools of connections, one per endpoint, each capped by the decision core.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slab::Slab;
use tanagerdeal_core::message::EndpointKey;
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, timeout_at};

use super::{ConnectionError, EndpointConnection, EndpointLogin};
use crate::codec::Frame;
use crate::driver::LimitTask;

/// Interval at which connections above a cap are recalled once they should be closed.
const RECALL_INTERVAL: Duration = Duration::from_millis(50);

/// Why no connection could be had.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// The connection could not be opened.
    #[error("{0}")]
    Connection(#[from] ConnectionError),
    /// No connection became free in time.
    #[error("no connection became free in time")]
    Exhausted,
}

/// Pools of all endpoints; clones share them.
#[derive(Clone)]
pub struct PoolSet {
    shared: Arc<PoolShared>,
}

struct PoolShared {
    login: EndpointLogin,
    message_limit: usize,
    connect_timeout: Duration,
    pools: Mutex<HashMap<EndpointKey, Arc<Pool>>>,
}

/// Connections to one endpoint.
struct Pool {
    state: Mutex<PoolState>,
}

#[derive(Default)]
struct PoolState {
    limit: usize,
    /// Connections that are open or being opened, idle ones included.
    open: usize,
    idle: Vec<EndpointConnection>,
    waiters: VecDeque<oneshot::Sender<PoolSlot>>,
    /// Tells the holder of a busy connection to close it; absent once that has been told.
    busy: Slab<Option<oneshot::Sender<()>>>,
}

/// The right to hold one connection; returns to the pool when dropped.
struct PoolSlot {
    pool: Arc<Pool>,
    connection: Option<EndpointConnection>,
}

/// A connection in use. Dropped, it is closed; [`ConnectionLease::give_back`] keeps it open.
pub struct ConnectionLease {
    slot: PoolSlot,
    /// Its place in the table of busy connections; absent once it has been given up.
    key: Option<usize>,
    recall: oneshot::Receiver<()>,
    is_recalled: bool,
}

impl PoolSet {
    /// Pools without connections; they open none before a cap is known.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal::endpoint::{EndpointLogin, PoolSet};
    ///
    /// let (user, password) = ("service".to_owned(), "secret".to_owned());
    /// let database = "postgres".to_owned();
    /// let login = EndpointLogin { user, password, database, source: None };
    /// let pools = PoolSet::new(login, 1 << 20, Duration::from_secs(2));
    /// assert_eq!(pools.counts(), (0, 0));
    /// ```
    pub fn new(login: EndpointLogin, message_limit: usize, connect_timeout: Duration) -> Self {
        let pools = Mutex::new(HashMap::new());
        Self { shared: Arc::new(PoolShared { login, message_limit, connect_timeout, pools }) }
    }

    /// Applies a cap: closes idle connections above it at once and recalls busy ones when
    /// `close_by` has passed.
    pub fn limit(&self, task: &LimitTask) {
        let pool = self.pool(task.endpoint);
        let is_above = pool.apply_limit(task.limit as usize);
        if is_above {
            let close_by = task.close_by;
            tokio::spawn(async move {
                sleep_until(close_by.into()).await;
                // A connection that was being opened becomes busy, or idle, only later.
                while pool.recall_excess() {
                    sleep(RECALL_INTERVAL).await;
                }
            });
        }
    }

    /// Takes a connection: an idle one, a new one, or the next that becomes free.
    ///
    /// # Errors
    ///
    /// Fails when none becomes free by `deadline` or a new one cannot be opened.
    pub async fn take(
        &self,
        endpoint: EndpointKey,
        address: &str,
        deadline: Instant,
    ) -> Result<ConnectionLease, PoolError> {
        let pool = self.pool(endpoint);
        let waiting = timeout_at(deadline.into(), pool.clone().slot());
        let mut slot = waiting.await.map_err(|_| PoolError::Exhausted)?;
        let is_usable = |connection: &EndpointConnection| {
            connection.is_quiet() && connection.address() == address
        };
        if !slot.connection.as_ref().is_some_and(is_usable) {
            slot.connection = None;
            let left = deadline.saturating_duration_since(Instant::now());
            let wait = left.min(self.shared.connect_timeout);
            let (login, limit) = (&self.shared.login, self.shared.message_limit);
            slot.connection = Some(EndpointConnection::open(address, login, limit, wait).await?);
        }
        let (recall, recalled) = oneshot::channel();
        let key = Some(pool.lock().busy.insert(Some(recall)));
        Ok(ConnectionLease { slot, key, recall: recalled, is_recalled: false })
    }

    /// Open connections and idle ones among them, over all endpoints.
    pub fn counts(&self) -> (usize, usize) {
        let pools = self.lock();
        pools.values().fold((0, 0), |(open, idle), pool| {
            let state = pool.lock();
            (open + state.open, idle + state.idle.len())
        })
    }

    fn pool(&self, endpoint: EndpointKey) -> Arc<Pool> {
        let new = || Arc::new(Pool { state: Mutex::new(PoolState::default()) });
        self.lock().entry(endpoint).or_insert_with(new).clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EndpointKey, Arc<Pool>>> {
        self.shared.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the right to hold a connection.
    async fn slot(self: Arc<Self>) -> PoolSlot {
        loop {
            let receiver = {
                let mut state = self.lock();
                if let Some(connection) = state.idle.pop() {
                    return PoolSlot { pool: self.clone(), connection: Some(connection) };
                }
                if state.open < state.limit {
                    state.open += 1;
                    return PoolSlot { pool: self.clone(), connection: None };
                }
                let (sender, receiver) = oneshot::channel();
                state.waiters.push_back(sender);
                receiver
            };
            if let Ok(slot) = receiver.await {
                return slot;
            }
        }
    }

    /// Sets the cap and closes idle connections above it; true when busy ones remain above it.
    fn apply_limit(self: &Arc<Self>, limit: usize) -> bool {
        let mut state = self.lock();
        state.limit = limit;
        let excess = state.open.saturating_sub(limit).min(state.idle.len());
        let closed: Vec<EndpointConnection> = state.idle.drain(..excess).collect();
        state.open -= closed.len();
        let is_above = state.open > limit;
        drop(state);
        self.serve_waiters();
        is_above
    }

    /// Tells holders of busy connections above the cap to close them; true while there are more
    /// connections than the cap.
    fn recall_excess(&self) -> bool {
        let mut state = self.lock();
        let excess = state.open.saturating_sub(state.limit);
        let told = state.busy.iter().filter(|(_, recall)| recall.is_none()).count();
        let waiting = state.busy.iter_mut().filter_map(|(_, recall)| recall.take());
        for recall in waiting.take(excess.saturating_sub(told)) {
            // The holder of a connection that is just being given up needs not be told.
            let _ = recall.send(());
        }
        excess > 0
    }

    /// Hands free connections and room below the cap to those that wait.
    fn serve_waiters(self: &Arc<Self>) {
        loop {
            let (waiter, slot) = {
                let mut state = self.lock();
                state.waiters.retain(|waiter| !waiter.is_closed());
                let has_room = !state.idle.is_empty() || state.open < state.limit;
                if state.waiters.is_empty() || !has_room {
                    return;
                }
                let connection = state.idle.pop();
                state.open += usize::from(connection.is_none());
                let Some(waiter) = state.waiters.pop_front() else {
                    return;
                };
                (waiter, PoolSlot { pool: self.clone(), connection })
            };
            // A waiter that has just gone returns the slot, which puts it back into the pool.
            drop(waiter.send(slot));
        }
    }

    /// Takes a connection back, or only the right to it, and serves the next waiter.
    fn restore(self: &Arc<Self>, connection: Option<EndpointConnection>) {
        let mut state = self.lock();
        let surplus = match connection {
            Some(connection) if state.open <= state.limit => {
                state.idle.push(connection);
                None
            }
            surplus => {
                state.open -= 1;
                surplus
            }
        };
        drop(state);
        drop(surplus);
        self.serve_waiters();
    }
}

impl Drop for PoolSlot {
    /// A slot that was never leased returns its connection; a lease has taken it out or returned it.
    fn drop(&mut self) {
        let connection = self.connection.take();
        self.pool.restore(connection);
    }
}

impl ConnectionLease {
    /// The connection.
    pub fn connection(&mut self) -> &mut EndpointConnection {
        self.slot.connection.as_mut().expect("a lease holds a connection until it is dropped")
    }

    /// Reads the next message; nothing when the pool wants the connection closed.
    pub async fn read(&mut self) -> Option<Result<Frame, ConnectionError>> {
        let Some(connection) = &mut self.slot.connection else {
            return None;
        };
        tokio::select! {
            biased;
            Ok(()) = &mut self.recall, if !self.is_recalled => {
                self.is_recalled = true;
                None
            }
            frame = connection.read() => Some(frame),
        }
    }

    /// Waits until the pool wants the connection closed.
    pub(crate) async fn recalled(&mut self) {
        if self.is_recalled {
            return;
        }
        match (&mut self.recall).await {
            Ok(()) => self.is_recalled = true,
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns the connection to the pool; its reply must be complete and its transaction over.
    pub fn give_back(mut self) {
        self.leave();
        let connection = self.slot.connection.take().filter(EndpointConnection::is_quiet);
        self.slot.connection = connection;
    }

    /// Leaves the table of busy connections; false when that has happened before.
    fn leave(&mut self) -> bool {
        let key = self.key.take();
        if let Some(key) = key {
            self.slot.pool.lock().busy.try_remove(key);
        }
        key.is_some()
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if self.leave() {
            self.slot.connection = None;
        }
    }
}

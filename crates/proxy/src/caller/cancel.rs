//! Cancel requests of clients, and the running requests that they may reach.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::endpoint::CancelTarget;

/// Sessions by the process id of their cancel key; clones share the table.
#[derive(Clone, Default)]
pub struct CancelRegistry {
    slots: Arc<Mutex<HashMap<i32, Arc<CancelSlot>>>>,
}

/// The request of a session that a cancel request would reach.
///
/// The lock is held while a cancel request is delivered. A session takes the lock when its request
/// ends, so that no cancel request can be under way when the connection goes on.
pub struct CancelSlot {
    pid: i32,
    secret: i32,
    state: tokio::sync::Mutex<CancelState>,
    waiting: Notify,
}

#[derive(Default)]
struct CancelState {
    target: Option<CancelTarget>,
    is_used: bool,
}

impl CancelRegistry {
    /// Adds a session with a new cancel key.
    pub fn register(&self) -> Arc<CancelSlot> {
        let mut slots = self.lock();
        loop {
            let pid = rand::random_range(1..=i32::MAX);
            if slots.contains_key(&pid) {
                continue;
            }
            let secret = rand::random();
            let (state, waiting) = Default::default();
            let slot = Arc::new(CancelSlot { pid, secret, state, waiting });
            slots.insert(pid, slot.clone());
            return slot;
        }
    }

    /// Removes a session.
    pub fn remove(&self, slot: &CancelSlot) {
        self.lock().remove(&slot.pid);
    }

    /// Cancels the request that the session runs or waits to run at this moment, if the key is
    /// right. Returns whether there was such a session.
    pub async fn cancel(&self, pid: i32, secret: i32) -> bool {
        let slot = self.lock().get(&pid).filter(|slot| slot.secret == secret).cloned();
        match slot {
            Some(slot) => {
                slot.deliver().await;
                true
            }
            None => false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<i32, Arc<CancelSlot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CancelSlot {
    /// Process id of the cancel key.
    pub fn pid(&self) -> i32 {
        self.pid
    }

    /// Secret of the cancel key.
    pub fn secret(&self) -> i32 {
        self.secret
    }

    /// Notes that a request begins on an endpoint connection.
    pub async fn begin(&self, target: CancelTarget) {
        *self.state.lock().await = CancelState { target: Some(target), is_used: false };
    }

    /// Notes that the request's reply is complete; waits for a cancel request under way. True when
    /// one was sent, after which the connection must not serve another session: an endpoint may act
    /// on a cancel request shortly after it has taken it.
    pub async fn end(&self) -> bool {
        std::mem::take(&mut *self.state.lock().await).is_used
    }

    /// Waits until a client cancels while its request waits for an endpoint.
    pub async fn cancelled(&self) {
        self.waiting.notified().await;
    }

    async fn deliver(&self) {
        let mut state = self.state.lock().await;
        let Some(target) = state.target.clone() else {
            self.waiting.notify_waiters();
            return;
        };
        state.is_used = true;
        if let Err(error) = target.send().await {
            log::warn!("caller: a cancel request did not reach the endpoint: {error}");
        }
    }
}

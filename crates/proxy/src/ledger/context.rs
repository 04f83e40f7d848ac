//! State shared by all tasks of a host.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use tanagerdeal_adapter::control::ControlClient;
use tanagerdeal_adapter::store::{StoreClient, StoreError};
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::EndpointKey;
use tanagerdeal_core::ledger::failover::ConfirmationTable;
use tanagerdeal_core::ledger::isolation::IsolationProbe;
use tanagerdeal_core::ledger::position::SharedObservation;
use tanagerdeal_core::ledger::state::{HostState, PrimaryPermit};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use super::forward::HostLinks;
use super::journal;
use super::metrics::HostMetrics;
use super::mirror::TableMirrors;
use super::peers::{PeerSender, PendingRequests};
use super::pool::EndpointPool;
use super::registrations::RegistrationFeed;
use super::relay::PendingRenewals;
use super::restore;
use super::settings::SiteSettings;
use super::usage::UsageState;

/// Pause after a failed call to the store.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest additional pause while the store does not answer. The configuration is read without it
/// (`freshness.rs`).
const OUTAGE_PAUSE: Duration = Duration::from_millis(2_000);

/// Lifecycle phase of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HostPhase {
    /// The process accepts and serves clients.
    Serving,
    /// The process has been shutting down since the instant.
    Stopping(BootInstant),
}

/// What the task that renews the lease does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RenewalStage {
    /// It waits until a renewal is due.
    Waiting,
    /// It waits for statements on a primary that is being replaced.
    Draining,
    /// It waits for the answer of the relay.
    AtRelay,
    /// It waits for the answer of the store.
    AtStore,
    /// It reads the rows that have changed.
    Reading,
    /// It backs off after a failed attempt.
    Paused,
}

/// Tracks the statements that run on a group's primary under one version of the group's row.
#[derive(Default)]
pub(super) struct PrimaryUseTracker {
    count: Cell<usize>,
    ended: Notify,
    revoked: Notify,
}

/// Row versions on which a lease renewal is conditional; 0 for a row that does not exist.
#[derive(Default)]
pub(super) struct RowVersions {
    pub(super) config: u64,
    pub(super) evacuations: HashMap<String, u64>,
    pub(super) own: u64,
}

/// State shared by all tasks of a host.
pub(super) struct HostContext {
    pub(super) settings: SiteSettings,
    pub(super) state: RefCell<HostState>,
    pub(super) pools: RefCell<HashMap<EndpointKey, Rc<EndpointPool>>>,
    uses: RefCell<HashMap<(String, u64), Rc<PrimaryUseTracker>>>,
    /// Row versions on which a lease renewal is conditional.
    pub(super) versions: RefCell<RowVersions>,
    /// Whether the store answered the last call.
    is_store_reachable: Cell<bool>,
    /// Wakes the tasks that wait for the store to answer again.
    store_recovered: Notify,
    pub(super) store: StoreClient,
    /// Era of the store that this host has taken note of; `None` before the first reply.
    pub(super) era: Cell<Option<u64>>,
    pub(super) control: ControlClient,
    pub(super) metrics: HostMetrics,
    pub(super) incarnation: u64,
    /// Suspected endpoints whose status is being requested.
    pub(super) probes: RefCell<HashSet<EndpointKey>>,
    /// Primaries that other hosts suspect of having failed, and until when this host probes them.
    pub(super) peer_suspicions: RefCell<HashMap<String, BootInstant>>,
    /// Sends messages to other hosts.
    pub(super) peers: PeerSender,
    /// Pending requests for rate tokens of other hosts; the answer is the number of tokens.
    pub(super) loans: PendingRequests<u64>,
    /// Pending requests for observed log positions of primaries.
    pub(super) observations: PendingRequests<Vec<SharedObservation>>,
    /// Pending and queued lease renewals.
    pub(super) renewals: PendingRenewals,
    /// Confirmations by other hosts of the failovers that this host carries out.
    pub(super) confirmations: RefCell<ConfirmationTable>,
    /// Wakes the tasks that wait for confirmations.
    pub(super) confirmed: Notify,
    /// Counts of the customers' requests.
    pub(super) usage: UsageState,
    /// Connections to pool hosts.
    pub(super) links: HostLinks,
    pub(super) registrations: RegistrationFeed,
    /// Local copies of the store's tables.
    pub(super) mirrors: TableMirrors,
    /// Key that authenticates the messages between hosts; empty until it is loaded.
    pub(super) secret: OnceCell<Vec<u8>>,
    /// When this host, or a relay on its behalf, last requested the list of hosts.
    pub(super) hosts_asked_at: Cell<BootInstant>,
    /// Wakes the lease renewal task.
    pub(super) renew_now: Notify,
    /// Wakes the task that records the beginning of an era of the store.
    pub(super) restored: Notify,
    /// Wakes the task that writes again what a restored store lacks of groups.
    pub(super) unwritten: Notify,
    /// What the lease renewal task does, and since when.
    pub(super) renewal_stage: Cell<(RenewalStage, BootInstant)>,
    pub(super) phase: watch::Sender<HostPhase>,
    /// Number of open client connections.
    pub(super) connections: Cell<usize>,
    /// Whether client connections are not accepted: until the initial state is loaded, and in the
    /// last part of a shutdown.
    pub(super) is_closed: Cell<bool>,
    /// Tracks whether hosts of other failure domains answer pings.
    pub(super) isolation: RefCell<IsolationProbe>,
    /// Since when this host and its failure domain are partitioned from the others; `None` if they
    /// are not.
    pub(super) isolated_since: watch::Sender<Option<BootInstant>>,
    /// Whether the host has had a lease, and the shares of all customers or no hope of them soon.
    pub(super) has_started: Cell<bool>,
    /// Until when the host waits for the shares; `None` before its first lease.
    pub(super) share_deadline: Cell<Option<BootInstant>>,
    /// Whether the host can serve clients now, as reported by the readiness page.
    pub(super) is_ready: Cell<bool>,
}

/// Counts a statement on a primary until the guard is dropped.
pub(super) struct PrimaryUseGuard {
    uses: Rc<PrimaryUseTracker>,
}

/// Returns the current instant of the boot clock.
pub(super) fn boot_now() -> BootInstant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000;
    BootInstant::from_micros(seconds * 1_000_000 + micros)
}

/// Whole microseconds of a duration, as sent to other hosts; at most `u32::MAX`.
pub(super) fn whole_micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}

/// Sleeps until an instant of the boot clock.
pub(super) async fn sleep_until(deadline: BootInstant) {
    tokio::time::sleep(deadline.since(boot_now())).await;
}

/// Sleeps until an instant of the boot clock, or forever if there is none.
pub(super) async fn sleep_until_optional(deadline: Option<BootInstant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

impl HostContext {
    /// Creates the context of a host that has not loaded any state yet.
    ///
    /// # Errors
    ///
    /// Fails when the clients of the store and of promotions, or the metrics, cannot be set up.
    pub(super) fn new(settings: SiteSettings) -> Result<Self, String> {
        let now = boot_now();
        let store = StoreClient::new(&settings.store).map_err(|error| error.to_string())?;
        let control = ControlClient::new(&settings.control).map_err(|error| error.to_string())?;
        let host_state = HostState::new(&settings.host, &settings.domain, settings.tolerance, now);
        Ok(Self {
            state: RefCell::new(host_state),
            pools: RefCell::default(),
            uses: RefCell::default(),
            versions: RefCell::default(),
            is_store_reachable: Cell::new(true),
            store_recovered: Notify::new(),
            store,
            era: Cell::default(),
            control,
            metrics: HostMetrics::new().map_err(|error| error.to_string())?,
            incarnation: rand::random(),
            probes: RefCell::default(),
            peer_suspicions: RefCell::default(),
            peers: PeerSender::default(),
            usage: UsageState::default(),
            links: HostLinks::default(),
            loans: PendingRequests::default(),
            observations: PendingRequests::default(),
            renewals: PendingRenewals::default(),
            confirmations: RefCell::default(),
            confirmed: Notify::new(),
            registrations: RegistrationFeed::new(now),
            mirrors: TableMirrors::new(),
            secret: OnceCell::new(),
            hosts_asked_at: Cell::new(now),
            renew_now: Notify::new(),
            restored: Notify::new(),
            unwritten: Notify::new(),
            renewal_stage: Cell::new((RenewalStage::Waiting, now)),
            phase: watch::Sender::new(HostPhase::Serving),
            connections: Cell::new(0),
            is_closed: Cell::new(true),
            isolation: RefCell::default(),
            isolated_since: watch::Sender::new(None),
            has_started: Cell::new(false),
            share_deadline: Cell::new(None),
            is_ready: Cell::new(false),
            settings,
        })
    }

    /// Returns the connection pool of an endpoint, and creates it if needed.
    pub(super) fn pool(&self, endpoint: EndpointKey) -> Rc<EndpointPool> {
        let mut pools = self.pools.borrow_mut();
        pools.entry(endpoint).or_insert_with(|| Rc::new(EndpointPool::new(endpoint))).clone()
    }

    /// Registers a statement that runs on a group's primary under a permit.
    pub(super) fn begin_primary_use(&self, group: &str, permit: PrimaryPermit) -> PrimaryUseGuard {
        let key = (group.to_owned(), permit.version);
        let uses = self.uses.borrow_mut().entry(key).or_default().clone();
        uses.count.set(uses.count.get() + 1);
        PrimaryUseGuard { uses }
    }

    /// Drains a group's former primary: waits until no statement runs under a permit that is older
    /// than `version`. Statements that are still running after `limit` are aborted.
    pub(super) async fn drain_primary(&self, group: &str, version: u64, limit: Duration) {
        let is_former = |(name, known): &(String, u64)| name == group && *known < version;
        let former: Vec<Rc<PrimaryUseTracker>> = {
            let uses = self.uses.borrow();
            let former = uses.iter().filter(|(key, _)| is_former(key));
            former.map(|(_, uses)| uses.clone()).collect()
        };
        for uses in former {
            if timeout(limit, uses.drained()).await.is_err() {
                uses.revoked.notify_waiters();
                uses.drained().await;
            }
        }
        // Other tasks may wait for the same statements, so an entry is kept until all have ended.
        let mut uses = self.uses.borrow_mut();
        uses.retain(|key, uses| !is_former(key) || uses.count.get() > 0);
    }

    /// Backs off after a failed call to the store. While the store does not answer, the pause lasts
    /// until another call has succeeded, or for a limited time. This limits the load on an
    /// unavailable store, and its recovery is still noticed early.
    pub(super) async fn wait_for_store(&self) {
        sleep(RETRY_PAUSE).await;
        if !self.is_store_reachable.get() {
            // Whether the store has recovered or the pause has ended, the caller tries again.
            let _ = timeout(OUTAGE_PAUSE, self.store_recovered.notified()).await;
        }
    }

    /// Records the outcome of a call to the store. It says nothing about the store if no call was
    /// made, or if the connection may have been dead before.
    pub(super) fn record_store_call<T>(&self, call: &str, result: &Result<T, StoreError>) {
        let (is_answered, outcome) = match result {
            Ok(_) => (true, "answered"),
            Err(StoreError::HistoryGone) => (true, "history_gone"),
            Err(StoreError::EarlierEra { .. }) => return,
            Err(StoreError::Refused(_)) => (false, "refused"),
            Err(StoreError::Unknown(_)) => (false, "unanswered"),
            Err(StoreError::Disconnected(reason)) => {
                self.metrics.count_call(call, "unanswered");
                let fields = json!({ "call": call, "reason": reason });
                return journal::event("store", "disconnected", fields);
            }
        };
        self.metrics.count_call(call, outcome);
        if is_answered {
            restore::note_era(self, self.store.era());
        }
        if self.is_store_reachable.replace(is_answered) == is_answered {
            return;
        }
        if is_answered {
            self.store_recovered.notify_waiters();
        }
        let reason = result.as_ref().err().map(ToString::to_string);
        let event = if is_answered { "regained" } else { "lost" };
        let lease_us = self.state.borrow().lease.until().map(|until| until.since(boot_now()));
        let lease_ms = lease_us.map(|left| left.as_millis() as u64);
        journal::event(
            "store",
            event,
            json!({ "call": call, "reason": reason, "lease_left_ms": lease_ms }),
        );
    }

    /// Whether the store answered the last call.
    pub(super) fn is_store_reachable(&self) -> bool {
        self.is_store_reachable.get()
    }

    /// Whether a permit is still valid.
    pub(super) fn is_permit_valid(&self, group: &str, permit: PrimaryPermit) -> bool {
        self.state.borrow().is_permit_valid(group, permit, boot_now())
    }

    /// Records what the lease renewal task does now.
    pub(super) fn set_renewal_stage(&self, stage: RenewalStage) {
        self.renewal_stage.set((stage, boot_now()));
    }

    /// Whether the process is shutting down.
    pub(super) fn is_stopping(&self) -> bool {
        *self.phase.borrow() != HostPhase::Serving
    }
}

impl PrimaryUseTracker {
    async fn drained(&self) {
        while self.count.get() > 0 {
            self.ended.notified().await;
        }
    }
}

impl PrimaryUseGuard {
    /// Completes when the statement has to be aborted.
    pub(super) async fn revoked(&self) {
        self.uses.revoked.notified().await;
    }
}

impl Drop for PrimaryUseGuard {
    fn drop(&mut self) {
        self.uses.count.set(self.uses.count.get() - 1);
        self.uses.ended.notify_waiters();
    }
}

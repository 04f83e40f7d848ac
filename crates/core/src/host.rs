//! State of one host, and the periodic tasks that run on it.

mod fleet;
mod groups;
mod traffic;

use std::time::Instant;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::catalog::CatalogTable;
use crate::confirm::ConfirmTable;
use crate::counter::HostCounters;
use crate::drain::DrainState;
use crate::failover::FailoverTable;
use crate::lease::{BaseState, LeaseState, MaintainState};
use crate::limit::LimitTable;
use crate::membership::{HostTable, OwnState};
use crate::message::{HostInput, HostOutput};
use crate::profile::{HostIdentity, HostPolicies, HostProfile, HostTiming};
use crate::retry::RetryTable;
use crate::routing::EndpointTable;
use crate::schedule::QueueTable;
use crate::session::SessionTable;
use crate::share::ShareTable;
use crate::store::StoreState;

/// All state of one host. While it runs, only [`HostState::handle`], [`HostState::tick`] and
/// [`HostState::adopt_settings`] change it.
pub struct HostState {
    pub(crate) profile: HostProfile,
    pub(crate) random: SmallRng,
    pub(crate) counters: HostCounters,
    pub(crate) catalog: CatalogTable,
    pub(crate) sessions: SessionTable,
    pub(crate) endpoints: EndpointTable,
    pub(crate) queues: QueueTable,
    pub(crate) limits: LimitTable,
    pub(crate) shares: ShareTable,
    pub(crate) hosts: HostTable,
    pub(crate) failovers: FailoverTable,
    pub(crate) confirms: ConfirmTable,
    pub(crate) retries: RetryTable,
    pub(crate) drain: DrainState,
    pub(crate) store: StoreState,
    pub(crate) own: OwnState,
    pub(crate) lease: LeaseState,
    pub(crate) maintain: MaintainState,
    pub(crate) base: BaseState,
    pub(crate) evidence_until: Option<Instant>,
}

impl HostState {
    /// Creates the state of a host that has just started, with empty tables.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::host::HostState;
    /// use tanagerdeal_core::profile::{HostIdentity, HostPolicies, HostProfile, HostTiming};
    /// use tanagerdeal_wire::{DomainName, HostName};
    ///
    /// let identity = HostIdentity {
    ///     host: HostName::new("h1").unwrap(),
    ///     domain: DomainName::new("d1").unwrap(),
    ///     incarnation: 1,
    ///     peer_address: "127.0.0.1:1".to_owned(),
    ///     admin_address: "127.0.0.1:2".to_owned(),
    /// };
    /// let profile = HostProfile {
    ///     identity,
    ///     timing: HostTiming::default(),
    ///     policies: HostPolicies::default(),
    ///     fleet_secret: b"secret".to_vec(),
    ///     seed: 1,
    /// };
    /// let mut state = HostState::new(profile);
    /// let mut outputs = Vec::new();
    /// state.tick(Instant::now(), &mut outputs);
    /// ```
    pub fn new(profile: HostProfile) -> Self {
        let mut random = SmallRng::seed_from_u64(profile.seed);
        let first_sequence = u64::from(random.random::<u32>()) << 24;
        let hosts = HostTable::new(
            profile.identity.host.clone(),
            profile.identity.domain.clone(),
            first_sequence,
        );
        Self {
            random,
            profile,
            counters: HostCounters::default(),
            catalog: CatalogTable::default(),
            sessions: SessionTable::default(),
            endpoints: EndpointTable::default(),
            queues: QueueTable::default(),
            limits: LimitTable::default(),
            shares: ShareTable::default(),
            hosts,
            failovers: FailoverTable::default(),
            confirms: ConfirmTable::default(),
            retries: RetryTable::default(),
            drain: DrainState::default(),
            store: StoreState::default(),
            own: OwnState::default(),
            lease: LeaseState::default(),
            maintain: MaintainState::default(),
            base: BaseState::default(),
            evidence_until: None,
        }
    }

    /// Name, failure domain, incarnation and addresses of this host.
    pub fn identity(&self) -> &HostIdentity {
        &self.profile.identity
    }

    /// Revision of the catalog in effect on this host.
    pub fn revision(&self) -> u64 {
        self.catalog.revision()
    }

    /// Replaces intervals and policies. Deadlines that were computed before keep their values.
    ///
    /// ```
    /// # use tanagerdeal_core::host::HostState;
    /// use tanagerdeal_core::profile::{HostPolicies, HostTiming};
    ///
    /// # fn change(state: &mut HostState) {
    /// state.adopt_settings(HostTiming::default(), HostPolicies::default());
    /// # }
    /// ```
    pub fn adopt_settings(&mut self, timing: HostTiming, policies: HostPolicies) {
        self.profile.timing = timing;
        self.profile.policies = policies;
    }

    /// Handles one input. Outputs are appended in the order in which they must be carried out.
    pub fn handle(&mut self, now: Instant, input: HostInput, outputs: &mut Vec<HostOutput>) {
        match input {
            HostInput::Caller(tag, call) => traffic::handle_call(self, now, tag, call, outputs),
            HostInput::Member(event) => groups::handle_member(self, now, event, outputs),
            HostInput::Store(event) => fleet::handle_store(self, now, event, outputs),
            HostInput::Peer(event) => fleet::handle_peer(self, now, event, outputs),
            HostInput::AskStatus(tag) => fleet::answer_status(self, now, tag, outputs),
            HostInput::ShutDown => fleet::shut_down(self, now, outputs),
        }
        groups::settle_waits(self, now, outputs);
        traffic::wake_waiters(self, now, outputs);
    }

    /// Runs all periodic tasks. The runtime calls this every 20 ms.
    pub fn tick(&mut self, now: Instant, outputs: &mut Vec<HostOutput>) {
        fleet::run_systems(self, now, outputs);
        groups::run_systems(self, now, outputs);
        traffic::run_systems(self, now, outputs);
        traffic::wake_waiters(self, now, outputs);
    }
}

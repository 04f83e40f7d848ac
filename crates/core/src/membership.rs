//! Membership of the fleet as seen by this host, and the requests in flight to other hosts.

mod news;
mod peer;
mod rank;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use tanagerdeal_wire::peer::{PeerRequest, PeerState};
use tanagerdeal_wire::platform::{HostEntry, HostList, HostPhase};
use tanagerdeal_wire::{DomainName, GroupName, HostName, value_type};

use crate::message::{HostOutput, PeerCallKey};

pub use peer::{HeldPull, OwnState, PeerLink};
pub use rank::{PullPlan, RELAYS, host_rank};

/// Age of a host's newest state after which the host counts as silent. It covers three heartbeats
/// of a small fleet and the time for which a pull is held open.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Added to [`LIVENESS_TIMEOUT`] per known host. This is three times [`HEARTBEAT_PER_HOST`],
/// because heartbeats are less frequent in a large fleet.
const LIVENESS_TIMEOUT_PER_HOST: Duration = Duration::from_millis(120);

/// How long a host counts as live after it was listed by the platform, if no state of it has been
/// received.
const LISTING_TIMEOUT: Duration = Duration::from_secs(30);

/// A host that was neither updated nor listed for this long is removed. Share views no longer refer
/// to it by then.
const HOST_RETENTION: Duration = Duration::from_secs(300);

/// Interval between computations of the pull plan.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Heartbeat interval in a small fleet.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Heartbeat interval per known host, used where it exceeds [`HEARTBEAT_INTERVAL`]. It limits the
/// states relayed to a host to 25 a second, about 2 KB/s, at any fleet size. A parent sends them to
/// each of its 8 children.
const HEARTBEAT_PER_HOST: Duration = Duration::from_millis(40);

value_type! {
    /// What this host knows about a host of the fleet.
    pub struct KnownHost {
        /// Its failure domain.
        pub domain: DomainName,
        /// Incarnation in the newest state or listing.
        pub incarnation: u64,
        /// Address of its peer listener.
        pub peer_address: String,
        /// Whether it is shutting down.
        pub leaving: bool,
        /// Its newest state, absent if the host was only listed by the platform.
        pub state: Option<PeerState>,
        /// When the newest state was created, in this host's time.
        pub made_at: Option<Instant>,
        listed_at: Option<Instant>,
        updated_at: Instant,
        sequence: u64,
        urgent_sequence: u64,
        /// Sequence number of the last change other than a heartbeat.
        content_sequence: u64,
        source: Option<HostName>,
    }

    /// A request in flight to another host.
    pub struct PeerCall {
        /// The host that receives the request.
        pub host: HostName,
        /// Whether the request is a pull.
        pub is_pull: bool,
        /// Sequence number of this host up to which the request carries states.
        pub sequence: u64,
        /// Incarnation of the other host when the request was made.
        pub incarnation: u64,
    }
}

/// Known hosts by name, and calls in flight.
#[derive(Default)]
pub struct HostTable {
    hosts: BTreeMap<HostName, KnownHost>,
    calls: SlotMap<PeerCallKey, PeerCall>,
    links: BTreeMap<HostName, PeerLink>,
    own: Option<HostName>,
    own_domain: Option<DomainName>,
    sequence: u64,
    first_sequence: u64,
    urgent_sequence: u64,
    is_list_read: bool,
    plan: PullPlan,
    plan_due: Option<Instant>,
    unheard: Vec<DomainName>,
}

impl HostTable {
    /// Creates an empty table. `first_sequence` is random, so that sequence numbers of an earlier
    /// incarnation of this host are recognised.
    pub(crate) fn new(own: HostName, own_domain: DomainName, first_sequence: u64) -> Self {
        let sequence = first_sequence;
        let (own, own_domain) = (Some(own), Some(own_domain));
        Self {
            own,
            own_domain,
            sequence,
            first_sequence,
            urgent_sequence: sequence,
            ..Self::default()
        }
    }

    /// Number of known hosts, silent ones included.
    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether the platform's host list has been read at least once.
    pub(crate) fn has_listed(&self) -> bool {
        self.is_list_read
    }

    /// Looks up a host, live or silent.
    pub(crate) fn host(&self, name: &HostName) -> Option<&KnownHost> {
        self.hosts.get(name)
    }

    /// All known hosts, silent ones included.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = (&HostName, &KnownHost)> {
        self.hosts.iter()
    }

    /// Other hosts that are live and not leaving, with their peer addresses.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::membership::HostTable;
    ///
    /// assert!(HostTable::default().live_peers(Instant::now()).is_empty());
    /// ```
    pub fn live_peers(&self, now: Instant) -> Vec<(&HostName, &str)> {
        self.others(now).map(|(name, host)| (name, host.peer_address.as_str())).collect()
    }

    /// Other hosts that are live and not leaving.
    pub(crate) fn others(&self, now: Instant) -> impl Iterator<Item = (&HostName, &KnownHost)> {
        self.hosts.iter().filter(move |(name, host)| {
            Some(*name) != self.own.as_ref() && !host.leaving && self.is_heard(now, host)
        })
    }

    /// Other hosts that are live and not leaving, with their failure domains.
    pub(crate) fn heard(&self, now: Instant) -> impl Iterator<Item = (&HostName, &DomainName)> {
        self.others(now).map(|(name, host)| (name, &host.domain))
    }

    /// Hosts among [`HostTable::heard`] that suspect the primary of a group to have failed in a
    /// term.
    pub(crate) fn suspicions(
        &self,
        now: Instant,
        group: &GroupName,
        term: u64,
    ) -> impl Iterator<Item = (&HostName, &DomainName)> {
        let suspects = move |host: &KnownHost| {
            let mut all = host.state.iter().flat_map(|state| &state.suspicions);
            all.any(|suspicion| suspicion.group == *group && suspicion.term == term)
        };
        let others = self.others(now).filter(move |(_, host)| suspects(host));
        others.map(|(name, host)| (name, &host.domain))
    }

    /// Whether a host is live: its newest state is recent, or, if no state was ever received, the
    /// platform listed it recently.
    pub(crate) fn is_heard(&self, now: Instant, host: &KnownHost) -> bool {
        let liveness_timeout = self.liveness_timeout();
        let is_within = |at: Instant, limit| now.saturating_duration_since(at) <= limit;
        match (host.made_at, host.listed_at) {
            (Some(at), _) => is_within(at, liveness_timeout),
            (None, Some(at)) => is_within(at, LISTING_TIMEOUT),
            (None, None) => false,
        }
    }

    /// Age of the newest state after which a host counts as silent.
    fn liveness_timeout(&self) -> Duration {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        LIVENESS_TIMEOUT + LIVENESS_TIMEOUT_PER_HOST.saturating_mul(hosts)
    }

    /// Failure domains of all known hosts.
    pub(crate) fn domains(&self) -> BTreeSet<&DomainName> {
        self.hosts.values().map(|host| &host.domain).collect()
    }

    /// Interval between heartbeats of this host, which other hosts relay.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        HEARTBEAT_INTERVAL.max(HEARTBEAT_PER_HOST.saturating_mul(hosts))
    }

    /// Sequence number of the newest change.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Sequence number of the newest urgent change, which other hosts must learn of at once.
    pub(crate) fn urgent_sequence(&self) -> u64 {
        self.urgent_sequence
    }

    /// Whether there is an urgent change after `seen` that is relayed to the receiver and did not
    /// come from it.
    pub(crate) fn has_urgent(&self, receiver: &HostName, seen: u64) -> bool {
        let seen = self.current_or_zero(seen);
        self.urgent_sequence > seen
            && self.hosts.iter().any(|(name, host)| {
                let is_from_receiver = name == receiver || host.source.as_ref() == Some(receiver);
                host.urgent_sequence > seen && !is_from_receiver && self.is_in_scope(receiver, host)
            })
    }

    /// The pull plan as of its last computation.
    pub(crate) fn current_plan(&self) -> &PullPlan {
        &self.plan
    }

    /// Failure domains without a recent state, as of the last computation of the pull plan.
    pub(crate) fn unheard(&self) -> Vec<DomainName> {
        self.unheard.clone()
    }

    /// Recomputes the pull plan when it is due. Ranking all hosts on every run would cost too much
    /// in a large fleet.
    pub(crate) fn refresh_plan(&mut self, now: Instant, own: (&HostName, &DomainName)) {
        if self.plan_due.is_none_or(|due| now >= due) {
            self.plan = self.plan(now, own);
            self.unheard = self.find_unheard(now);
            self.plan_due = Some(now + PLAN_INTERVAL);
        }
    }

    /// Allocates a sequence number for an urgent change that is kept outside of this table.
    pub(crate) fn next_urgent(&mut self) -> u64 {
        self.sequence += 1;
        self.urgent_sequence = self.sequence;
        self.sequence
    }

    /// Merges the platform's host list. The list lags, so it only adds unknown hosts and replaces
    /// entries of hosts without a state, or of silent hosts that have restarted since.
    pub(crate) fn adopt_list(&mut self, now: Instant, list: &HostList) {
        self.is_list_read = true;
        self.plan_due = None;
        for entry in &list.hosts {
            let is_heard = self.hosts.get(&entry.host).is_some_and(|host| self.is_heard(now, host));
            match self.hosts.get_mut(&entry.host) {
                Some(host)
                    if host.made_at.is_some()
                        && (is_heard || host.incarnation == entry.incarnation) =>
                {
                    host.listed_at = Some(now);
                }
                Some(host) => host.reset_to_listed(now, entry),
                None => {
                    self.hosts.insert(entry.host.clone(), KnownHost::from_list(now, entry));
                }
            }
        }
    }

    /// Merges a state created at `made_at` and returns whether it was newer than the stored one.
    /// `source` is the host that sent it; the state is not sent back there.
    pub(crate) fn adopt_state(
        &mut self,
        now: Instant,
        made_at: Instant,
        state: PeerState,
        source: Option<&HostName>,
    ) -> bool {
        let known = self.hosts.get(&state.host);
        let old = known.and_then(|host| host.state.as_ref());
        // Incarnations are random and have no order, so the newer creation time wins.
        let is_newer = match old {
            Some(old) if old.incarnation == state.incarnation => state.version > old.version,
            Some(_) => known.and_then(|host| host.made_at).is_none_or(|at| made_at > at),
            None => true,
        };
        if !is_newer {
            return false;
        }
        let is_urgent =
            old.map_or(!state.suspicions.is_empty(), |old| is_urgent_change(old, &state));
        let urgent_before = known.map_or(0, |host| host.urgent_sequence);
        let is_heartbeat = old.is_some_and(|old| {
            old.incarnation == state.incarnation && content_version(old) == content_version(&state)
        });
        let content_before = known.filter(|_| is_heartbeat).map(|host| host.content_sequence);
        self.sequence += 1;
        if is_urgent {
            self.urgent_sequence = self.sequence;
        }
        let updated = KnownHost {
            domain: state.domain.clone(),
            incarnation: state.incarnation,
            peer_address: state.peer_address.clone(),
            leaving: state.leaving,
            made_at: Some(made_at),
            listed_at: known.and_then(|host| host.listed_at),
            updated_at: now,
            sequence: self.sequence,
            urgent_sequence: if is_urgent { self.sequence } else { urgent_before },
            content_sequence: content_before.unwrap_or(self.sequence),
            source: source.cloned(),
            state: Some(state.clone()),
        };
        self.hosts.insert(state.host, updated);
        true
    }

    /// Returns a sequence number that another host sent back, or 0 if it belongs to an earlier
    /// incarnation of this host.
    pub(crate) fn current_or_zero(&self, seen: u64) -> u64 {
        if (self.first_sequence..=self.sequence).contains(&seen) { seen } else { 0 }
    }

    /// Removes other hosts that were neither updated nor listed within [`HOST_RETENTION`].
    pub(crate) fn forget_silent(&mut self, now: Instant) {
        let is_retained = |host: &KnownHost| {
            let last = host.listed_at.map_or(host.updated_at, |at| at.max(host.updated_at));
            now.saturating_duration_since(last) <= HOST_RETENTION
        };
        let own = self.own.clone();
        self.hosts.retain(|name, host| Some(name) == own.as_ref() || is_retained(host));
        let hosts = &self.hosts;
        self.links.retain(|name, _| hosts.contains_key(name));
    }

    /// Replication state of a peer, created on first use.
    pub(crate) fn link(&mut self, host: &HostName) -> &mut PeerLink {
        self.links.entry(host.clone()).or_default()
    }

    /// Pulls of other hosts that this host holds open.
    pub(crate) fn held_pulls(&self) -> Vec<(HostName, HeldPull)> {
        let held = self.links.iter().filter_map(|(name, link)| Some((name, link.held?)));
        held.map(|(name, held)| (name.clone(), held)).collect()
    }

    /// Sends a request to a peer. Returns `None` and sends nothing if the host is not known.
    pub(crate) fn send(
        &mut self,
        host: &HostName,
        request: PeerRequest,
        deadline: Instant,
        outputs: &mut Vec<HostOutput>,
    ) -> Option<PeerCallKey> {
        let known = self.hosts.get(host)?;
        let call = self.calls.insert(PeerCall {
            host: host.clone(),
            is_pull: matches!(request, PeerRequest::Pull(_)),
            sequence: self.sequence,
            incarnation: known.incarnation,
        });
        let (host, address) = (host.clone(), known.peer_address.clone());
        outputs.push(HostOutput::SendPeer { call, host, address, request, deadline });
        Some(call)
    }

    /// Removes a call that was answered or has failed.
    pub(crate) fn end(&mut self, call: PeerCallKey) -> Option<PeerCall> {
        self.calls.remove(call)
    }
}

impl KnownHost {
    fn from_list(now: Instant, entry: &HostEntry) -> Self {
        Self {
            domain: entry.domain.clone(),
            incarnation: entry.incarnation,
            peer_address: entry.peer_address.clone(),
            leaving: entry.phase == HostPhase::Leaving,
            state: None,
            made_at: None,
            listed_at: Some(now),
            updated_at: now,
            sequence: 0,
            urgent_sequence: 0,
            content_sequence: 0,
            source: None,
        }
    }

    fn reset_to_listed(&mut self, now: Instant, entry: &HostEntry) {
        let updated_at = self.updated_at;
        *self = Self { updated_at, ..Self::from_list(now, entry) };
    }

    fn state_with_age(&self, now: Instant) -> Option<PeerState> {
        let (state, made_at) = (self.state.as_ref()?, self.made_at?);
        let age = now.saturating_duration_since(made_at).as_millis();
        Some(PeerState { age_ms: u32::try_from(age).unwrap_or(u32::MAX), ..state.clone() })
    }
}

/// Version in which anything but the heartbeat fields last changed.
fn content_version(state: &PeerState) -> u64 {
    state.version.saturating_sub(state.unchanged)
}

/// Whether other hosts must learn of a change at once. Suspicions drive failover, and a leaving
/// host must not be chosen as a parent. Other changes can wait for the next answer to a pull.
pub(crate) fn is_urgent_change(old: &PeerState, new: &PeerState) -> bool {
    old.suspicions != new.suspicions || old.leaving != new.leaving
}

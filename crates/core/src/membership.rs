//! Hosts of the fleet as this host knows them, and the requests in flight to them.

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

/// A host that was not heard of for this long is silent. Three heartbeats of a small fleet and the
/// time for which an answer is held back fit into it.
const LIVE_FOR: Duration = Duration::from_millis(3_500);

/// Addition to [`LIVE_FOR`] per host known: three heartbeats, which are rarer in a large fleet.
const LIVE_PER_HOST: Duration = Duration::from_millis(120);

/// How long an entry of the platform's list counts for a host that was never heard of.
const LISTED_FOR: Duration = Duration::from_secs(30);

/// A host is forgotten after this time: share views no longer refer to it then.
const FORGET_AFTER: Duration = Duration::from_secs(300);

/// Interval between computations of the plan.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between heartbeats relayed in a small fleet.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Heartbeat interval per host known, where that is more. States relayed to a host thereby stay at 25
/// a second at any size, about 2 KB/s; a parent sends them to each of its 8 children.
const HEARTBEAT_PER_HOST: Duration = Duration::from_millis(40);

value_type! {
    /// A host as this host knows it.
    pub struct KnownHost {
        /// Its failure domain.
        pub domain: DomainName,
        /// Incarnation heard of or listed last.
        pub incarnation: u64,
        /// Address of its peer listener.
        pub peer_address: String,
        /// Whether it is shutting down.
        pub leaving: bool,
        /// Its newest state, absent when it was only listed.
        pub state: Option<PeerState>,
        /// When the newest state was made.
        pub made_at: Option<Instant>,
        listed_at: Option<Instant>,
        touched_at: Instant,
        sequence: u64,
        urgent_sequence: u64,
        /// Sequence number of the last change other than a heartbeat.
        content_sequence: u64,
        source: Option<HostName>,
    }

    /// A request in flight to another host.
    pub struct PeerCall {
        /// The host.
        pub host: HostName,
        /// Whether it is a pull.
        pub is_pull: bool,
        /// Sequence number up to which the request carries states.
        pub sequence: u64,
        /// Incarnation of the other host when the request was made.
        pub incarnation: u64,
    }
}

/// Hosts by name, and open calls.
#[derive(Default)]
pub struct HostTable {
    hosts: BTreeMap<HostName, KnownHost>,
    calls: SlotMap<PeerCallKey, PeerCall>,
    links: BTreeMap<HostName, PeerLink>,
    own: Option<HostName>,
    home: Option<DomainName>,
    sequence: u64,
    first_sequence: u64,
    urgent_sequence: u64,
    is_listed: bool,
    plan: PullPlan,
    plan_due: Option<Instant>,
    unheard: Vec<DomainName>,
}

impl HostTable {
    /// An empty table of a host; sequence numbers start at a random point, so that those of an earlier
    /// incarnation are recognised.
    pub(crate) fn new(own: HostName, home: DomainName, first_sequence: u64) -> Self {
        let sequence = first_sequence;
        let (own, home) = (Some(own), Some(home));
        Self { own, home, sequence, first_sequence, urgent_sequence: sequence, ..Self::default() }
    }

    /// Number of hosts known.
    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether the platform's list has been read.
    pub(crate) fn has_listed(&self) -> bool {
        self.is_listed
    }

    /// A host by name.
    pub(crate) fn host(&self, name: &HostName) -> Option<&KnownHost> {
        self.hosts.get(name)
    }

    /// All hosts.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = (&HostName, &KnownHost)> {
        self.hosts.iter()
    }

    /// Other hosts that were heard of recently and are not leaving, with their peer addresses.
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

    /// Other hosts that were heard of recently and are not leaving.
    pub(crate) fn others(&self, now: Instant) -> impl Iterator<Item = (&HostName, &KnownHost)> {
        self.hosts.iter().filter(move |(name, host)| {
            Some(*name) != self.own.as_ref() && !host.leaving && self.is_heard(now, host)
        })
    }

    /// Other hosts that were heard of recently and are not leaving, with their failure domains.
    pub(crate) fn heard(&self, now: Instant) -> impl Iterator<Item = (&HostName, &DomainName)> {
        self.others(now).map(|(name, host)| (name, &host.domain))
    }

    /// Hosts among [`HostTable::heard`] that suspect the primary of a group in a term.
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

    /// Whether a host was heard of recently, or, if never heard of, is in the platform's list.
    pub(crate) fn is_heard(&self, now: Instant, host: &KnownHost) -> bool {
        let live_for = self.live_for();
        let is_within = |at: Instant, limit| now.saturating_duration_since(at) <= limit;
        match (host.made_at, host.listed_at) {
            (Some(at), _) => is_within(at, live_for),
            (None, Some(at)) => is_within(at, LISTED_FOR),
            (None, None) => false,
        }
    }

    /// Time after which a host that was not heard of is silent.
    fn live_for(&self) -> Duration {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        LIVE_FOR + LIVE_PER_HOST.saturating_mul(hosts)
    }

    /// Failure domains of all hosts known.
    pub(crate) fn domains(&self) -> BTreeSet<&DomainName> {
        self.hosts.values().map(|host| &host.domain).collect()
    }

    /// Interval between heartbeats that other hosts relay.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        HEARTBEAT_INTERVAL.max(HEARTBEAT_PER_HOST.saturating_mul(hosts))
    }

    /// Sequence number of the newest state.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Sequence number of the newest change that other hosts must learn of at once.
    pub(crate) fn urgent_sequence(&self) -> u64 {
        self.urgent_sequence
    }

    /// Whether a host lacks an urgent change that did not come from it and that is passed on to it.
    pub(crate) fn has_urgent(&self, receiver: &HostName, seen: u64) -> bool {
        let seen = self.current_or_zero(seen);
        self.urgent_sequence > seen
            && self.hosts.iter().any(|(name, host)| {
                let is_known = name == receiver || host.source.as_ref() == Some(receiver);
                host.urgent_sequence > seen && !is_known && self.is_in_scope(receiver, host)
            })
    }

    /// Whom this host pulls from, as of the last run of the systems.
    pub(crate) fn current_plan(&self) -> &PullPlan {
        &self.plan
    }

    /// Failure domains that were not heard of lately, as of the last run of the systems.
    pub(crate) fn unheard(&self) -> Vec<DomainName> {
        self.unheard.clone()
    }

    /// Computes the plan again when it is due; ranking all hosts on every run would cost too much in a
    /// large fleet.
    pub(crate) fn refresh_plan(&mut self, now: Instant, own: (&HostName, &DomainName)) {
        if self.plan_due.is_none_or(|due| now >= due) {
            self.plan = self.plan(now, own);
            self.unheard = self.find_unheard(now);
            self.plan_due = Some(now + PLAN_INTERVAL);
        }
    }

    /// Counts a change outside of the table that other hosts must learn of at once.
    pub(crate) fn next_urgent(&mut self) -> u64 {
        self.sequence += 1;
        self.urgent_sequence = self.sequence;
        self.sequence
    }

    /// Takes the platform's list, which lags: it adds hosts that were never heard of, or that
    /// fell silent and have restarted since.
    pub(crate) fn adopt_list(&mut self, now: Instant, list: &HostList) {
        self.is_listed = true;
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
                Some(host) => host.relist(now, entry),
                None => {
                    self.hosts.insert(entry.host.clone(), KnownHost::listed(now, entry));
                }
            }
        }
    }

    /// Takes a state made at an instant, and tells whether it is new. `source` is the host it came
    /// from, to which it is not sent back.
    pub(crate) fn adopt_state(
        &mut self,
        now: Instant,
        made_at: Instant,
        state: PeerState,
        source: Option<&HostName>,
    ) -> bool {
        let held = self.hosts.get(&state.host);
        let old = held.and_then(|host| host.state.as_ref());
        // Incarnations are random, so the age decides between two of them.
        let is_newer = match old {
            Some(old) if old.incarnation == state.incarnation => state.version > old.version,
            Some(_) => held.and_then(|host| host.made_at).is_none_or(|at| made_at > at),
            None => true,
        };
        if !is_newer {
            return false;
        }
        let is_urgent =
            old.map_or(!state.suspicions.is_empty(), |old| is_urgent_change(old, &state));
        let urgent_before = held.map_or(0, |host| host.urgent_sequence);
        let is_beat = old.is_some_and(|old| {
            old.incarnation == state.incarnation && content_version(old) == content_version(&state)
        });
        let content_before = held.filter(|_| is_beat).map(|host| host.content_sequence);
        self.sequence += 1;
        if is_urgent {
            self.urgent_sequence = self.sequence;
        }
        let known = KnownHost {
            domain: state.domain.clone(),
            incarnation: state.incarnation,
            peer_address: state.peer_address.clone(),
            leaving: state.leaving,
            made_at: Some(made_at),
            listed_at: held.and_then(|host| host.listed_at),
            touched_at: now,
            sequence: self.sequence,
            urgent_sequence: if is_urgent { self.sequence } else { urgent_before },
            content_sequence: content_before.unwrap_or(self.sequence),
            source: source.cloned(),
            state: Some(state.clone()),
        };
        self.hosts.insert(state.host, known);
        true
    }

    /// A sequence number that another host sent back, or 0 when it is of an earlier incarnation.
    pub(crate) fn current_or_zero(&self, seen: u64) -> u64 {
        if (self.first_sequence..=self.sequence).contains(&seen) { seen } else { 0 }
    }

    /// Forgets hosts that were not heard of for minutes.
    pub(crate) fn forget_silent(&mut self, now: Instant) {
        let is_kept = |host: &KnownHost| {
            let last = host.listed_at.map_or(host.touched_at, |at| at.max(host.touched_at));
            now.saturating_duration_since(last) <= FORGET_AFTER
        };
        let own = self.own.clone();
        self.hosts.retain(|name, host| Some(name) == own.as_ref() || is_kept(host));
        let hosts = &self.hosts;
        self.links.retain(|name, _| hosts.contains_key(name));
    }

    /// What was last exchanged with a host.
    pub(crate) fn link(&mut self, host: &HostName) -> &mut PeerLink {
        self.links.entry(host.clone()).or_default()
    }

    /// Pulls of other hosts that wait here.
    pub(crate) fn held_pulls(&self) -> Vec<(HostName, HeldPull)> {
        let held = self.links.iter().filter_map(|(name, link)| Some((name, link.held?)));
        held.map(|(name, held)| (name.clone(), held)).collect()
    }

    /// Sends a request to a peer; nothing is sent to an unknown one.
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

    /// Ends a call.
    pub(crate) fn end(&mut self, call: PeerCallKey) -> Option<PeerCall> {
        self.calls.remove(call)
    }
}

impl KnownHost {
    fn listed(now: Instant, entry: &HostEntry) -> Self {
        Self {
            domain: entry.domain.clone(),
            incarnation: entry.incarnation,
            peer_address: entry.peer_address.clone(),
            leaving: entry.phase == HostPhase::Leaving,
            state: None,
            made_at: None,
            listed_at: Some(now),
            touched_at: now,
            sequence: 0,
            urgent_sequence: 0,
            content_sequence: 0,
            source: None,
        }
    }

    fn relist(&mut self, now: Instant, entry: &HostEntry) {
        let touched_at = self.touched_at;
        *self = Self { touched_at, ..Self::listed(now, entry) };
    }

    fn aged_state(&self, now: Instant) -> Option<PeerState> {
        let (state, made_at) = (self.state.as_ref()?, self.made_at?);
        let age = now.saturating_duration_since(made_at).as_millis();
        Some(PeerState { age_ms: u32::try_from(age).unwrap_or(u32::MAX), ..state.clone() })
    }
}

/// Version at which the state last changed other than by a heartbeat.
fn content_version(state: &PeerState) -> u64 {
    state.version.saturating_sub(state.unchanged)
}

/// Whether other hosts must learn of a change at once: suspicions drive failover, and a host that
/// leaves must not be chosen as a parent. Everything else can wait for the next answer.
pub(crate) fn is_urgent_change(old: &PeerState, new: &PeerState) -> bool {
    old.suspicions != new.suspicions || old.leaving != new.leaving
}

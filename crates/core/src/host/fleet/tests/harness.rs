//! Several hosts in one process, the messages between them, and a table service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde_json::Value;
use tanagerdeal_wire::peer::{PeerReply, PeerRequest};
use tanagerdeal_wire::platform::{
    EntryPage, HostEntry, HostList, TableEntry, TxnConflict, TxnRequest,
};
use tanagerdeal_wire::{DomainName, HostName};

use crate::host::HostState;
use crate::message::caller::CallerAnswer;
use crate::message::fleet::{PeerEvent, StoreEvent, StoreFault, StoreRequest};
use crate::message::{CallTag, DrainPhase, HostInput, HostOutput, PeerCallKey};
use crate::profile::{HostIdentity, HostPolicies, HostProfile, HostTiming};

/// One-way latency between hosts, and to the platform.
const LATENCY: Duration = Duration::from_millis(2);

/// Time after which a call of an unreachable platform fails.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

const TICK: Duration = Duration::from_millis(20);

pub(super) struct Node {
    pub(super) state: HostState,
    pub(super) is_up: bool,
    pub(super) is_paused: bool,
    pub(super) phases: Vec<DrainPhase>,
    pub(super) answers: Vec<CallerAnswer>,
}

enum Delivery {
    Input(HostInput),
    TimedOut(PeerCallKey, Instant),
}

struct Parcel {
    to: usize,
    incarnation: u64,
    delivery: Delivery,
}

#[derive(Default)]
pub(super) struct FakeTable {
    pub(super) revision: u64,
    pub(super) entries: BTreeMap<String, TableEntry>,
    hosts: BTreeMap<HostName, HostEntry>,
}

pub(super) struct Fleet {
    pub(super) now: Instant,
    pub(super) nodes: Vec<Node>,
    pub(super) table: FakeTable,
    /// Failure domains that cannot reach the platform.
    pub(super) without_store: BTreeSet<String>,
    /// Revision whose first reader is the last host that reaches the platform.
    pub(super) fails_after: Option<u64>,
    /// Pairs of failure domains that cannot reach each other.
    pub(super) cut: BTreeSet<(String, String)>,
    /// Extra latency of the platform.
    pub(super) store_delay: Duration,
    /// Number of answers to transactions that get lost after the change took effect.
    pub(super) lost_answers: usize,
    pub(super) store_calls: Vec<(Instant, usize, &'static str)>,
    /// Pulls answered: who asked, who answered, and the encoded sizes of request and reply.
    pub(super) pulls: Vec<(usize, usize, usize, usize)>,
    parcels: BTreeMap<(Instant, u64), Parcel>,
    /// What came for hosts while they were paused.
    backlog: Vec<Parcel>,
    open: HashMap<u64, (usize, u64, PeerCallKey, Instant, usize)>,
    next_number: u64,
    names: HashMap<HostName, usize>,
}

impl Node {
    fn new(state: HostState) -> Self {
        let (phases, answers) = (Vec::new(), Vec::new());
        Self { state, is_up: true, is_paused: false, phases, answers }
    }
}

impl FakeTable {
    pub(super) fn put(&mut self, key: &str, value: Option<Value>) -> u64 {
        self.revision += 1;
        let entry = TableEntry { key: key.to_owned(), revision: self.revision, value };
        self.entries.insert(key.to_owned(), entry);
        self.revision
    }

    fn key_revision(&self, key: &str) -> u64 {
        let entry = self.entries.get(key).filter(|entry| entry.value.is_some());
        entry.map_or(0, |entry| entry.revision)
    }

    fn transact(&mut self, txn: TxnRequest) -> Result<u64, StoreFault> {
        for check in txn.checks {
            let revision = self.key_revision(&check.key);
            if revision != check.revision {
                return Err(StoreFault::Conflict(TxnConflict { key: check.key, revision }));
            }
        }
        self.revision += 1;
        for write in txn.writes {
            let (key, value) = (write.key, write.value);
            let entry = TableEntry { key: key.clone(), revision: self.revision, value };
            self.entries.insert(key, entry);
        }
        Ok(self.revision)
    }

    fn changes(&self, after: u64) -> EntryPage {
        let newer = self.entries.values().filter(|entry| entry.revision > after);
        let mut entries: Vec<_> = newer.cloned().collect();
        entries.sort_by_key(|entry| entry.revision);
        EntryPage { revision: self.revision, entries }
    }
}

pub(super) fn profile(domain: &str, host: &str, incarnation: u64) -> HostProfile {
    let identity = HostIdentity {
        host: HostName::new(host).unwrap(),
        domain: DomainName::new(domain).unwrap(),
        incarnation,
        peer_address: format!("{host}:1"),
        admin_address: format!("{host}:2"),
    };
    let (timing, policies) = (HostTiming::default(), HostPolicies::default());
    HostProfile { identity, timing, policies, fleet_secret: b"secret".to_vec(), seed: incarnation }
}

impl Fleet {
    /// Hosts `<domain>-<n>`, `per_domain` in each of the failure domains.
    pub(super) fn new(domains: &[&str], per_domain: usize) -> Self {
        let mut fleet = Self {
            now: Instant::now() + Duration::from_secs(3_600),
            nodes: Vec::new(),
            table: FakeTable::default(),
            without_store: BTreeSet::new(),
            fails_after: None,
            cut: BTreeSet::new(),
            store_delay: Duration::ZERO,
            lost_answers: 0,
            store_calls: Vec::new(),
            pulls: Vec::new(),
            parcels: BTreeMap::new(),
            backlog: Vec::new(),
            open: HashMap::new(),
            next_number: 0,
            names: HashMap::new(),
        };
        for domain in domains {
            for number in 0..per_domain {
                let name = format!("{domain}-{number}");
                let index = fleet.nodes.len();
                fleet.names.insert(HostName::new(&name).unwrap(), index);
                let state = HostState::new(profile(domain, &name, index as u64 + 1));
                fleet.nodes.push(Node::new(state));
            }
        }
        fleet
    }

    pub(super) fn index(&self, host: &str) -> usize {
        self.names[&HostName::new(host).unwrap()]
    }

    pub(super) fn state(&self, host: &str) -> &HostState {
        &self.nodes[self.index(host)].state
    }

    pub(super) fn domain(&self, index: usize) -> String {
        self.nodes[index].state.profile.identity.domain.to_string()
    }

    fn incarnation(&self, index: usize) -> u64 {
        self.nodes[index].state.profile.identity.incarnation
    }

    /// Starts a new process on a host, whether the old one still ran or not.
    pub(super) fn restart(&mut self, index: usize) {
        self.next_number += 1;
        let old = self.nodes[index].state.profile.identity.clone();
        let incarnation = 1_000 + self.next_number;
        let profile = profile(old.domain.as_str(), old.host.as_str(), incarnation);
        self.nodes[index] = Node::new(HostState::new(profile));
    }

    pub(super) fn cut_domains(&mut self, one: &str, other: &str) {
        self.cut.insert((one.to_owned(), other.to_owned()));
        self.cut.insert((other.to_owned(), one.to_owned()));
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        !self.cut.contains(&(self.domain(from), self.domain(to)))
    }

    /// Runs for some time; `observe` sees the fleet after each step.
    pub(super) fn run_observed(&mut self, time: Duration, mut observe: impl FnMut(&Self)) {
        let end = self.now + time;
        while self.now < end {
            let next = self.now + TICK;
            while let Some((due, parcel)) = self.take_due(next) {
                self.now = due.max(self.now);
                self.deliver(parcel);
                observe(self);
            }
            self.now = next;
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_up && !self.nodes[index].is_paused {
                    let mut outputs = Vec::new();
                    self.nodes[index].state.tick(next, &mut outputs);
                    self.carry_out(index, outputs);
                }
            }
            observe(self);
        }
    }

    pub(super) fn run(&mut self, time: Duration) {
        self.run_observed(time, |_| {});
    }

    /// Runs until a condition holds, and tells how long that took.
    pub(super) fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(TICK);
        }
        condition(self).then(|| self.now - start)
    }

    fn take_due(&mut self, until: Instant) -> Option<(Instant, Parcel)> {
        let mut backlog = self.backlog.iter();
        if let Some(place) = backlog.position(|parcel| !self.nodes[parcel.to].is_paused) {
            return Some((self.now, self.backlog.remove(place)));
        }
        while let Some(first) = self.parcels.first_entry().filter(|first| first.key().0 <= until) {
            let ((due, _), parcel) = first.remove_entry();
            if !self.nodes[parcel.to].is_paused {
                return Some((due, parcel));
            }
            self.backlog.push(parcel);
        }
        None
    }

    fn deliver(&mut self, parcel: Parcel) {
        let index = parcel.to;
        if !self.nodes[index].is_up || self.incarnation(index) != parcel.incarnation {
            return;
        }
        let input = match parcel.delivery {
            Delivery::Input(input) => input,
            Delivery::TimedOut(call, asked_at) => {
                HostInput::Peer(PeerEvent::Answered { call, asked_at, reply: None })
            }
        };
        self.input(index, input);
    }

    pub(super) fn input(&mut self, index: usize, input: HostInput) {
        let mut outputs = Vec::new();
        self.nodes[index].state.handle(self.now, input, &mut outputs);
        self.carry_out(index, outputs);
    }

    fn post(&mut self, to: usize, due: Instant, delivery: Delivery) {
        self.next_number += 1;
        let incarnation = self.incarnation(to);
        self.parcels.insert((due, self.next_number), Parcel { to, incarnation, delivery });
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<HostOutput>) {
        for output in outputs {
            match output {
                HostOutput::CallStore(request) => self.call_store(index, request),
                HostOutput::SendPeer { call, host, request, deadline, .. } => {
                    self.send_peer(index, call, &host, request, deadline);
                }
                HostOutput::AnswerPeer(tag, reply) => self.answer_peer(index, tag, reply),
                HostOutput::AnswerCaller(_, answer) => self.nodes[index].answers.push(answer),
                HostOutput::Drain(phase) => self.nodes[index].phases.push(phase),
                _ => {}
            }
        }
    }

    fn send_peer(
        &mut self,
        from: usize,
        call: PeerCallKey,
        host: &HostName,
        request: PeerRequest,
        deadline: Instant,
    ) {
        let to = self.names[host];
        self.next_number += 1;
        let (tag, size) = (self.next_number, encoded_size(&request));
        self.open.insert(tag, (from, self.incarnation(from), call, self.now, size));
        self.post(from, deadline, Delivery::TimedOut(call, self.now));
        if self.can_reach(from, to) {
            let from = self.nodes[from].state.profile.identity.host.clone();
            let event = PeerEvent::Asked { tag: CallTag(tag), from, request };
            self.post(to, self.now + LATENCY, Delivery::Input(HostInput::Peer(event)));
        }
    }

    fn answer_peer(&mut self, from: usize, tag: CallTag, reply: PeerReply) {
        let Some((to, incarnation, call, asked_at, size)) = self.open.remove(&tag.0) else {
            return;
        };
        if matches!(reply, PeerReply::Pull(_)) {
            self.pulls.push((to, from, size, encoded_size(&reply)));
        }
        if self.can_reach(from, to) && self.incarnation(to) == incarnation {
            let event = PeerEvent::Answered { call, asked_at, reply: Some(reply) };
            self.post(to, self.now + LATENCY, Delivery::Input(HostInput::Peer(event)));
        }
    }

    fn call_store(&mut self, index: usize, request: StoreRequest) {
        let kind = match &request {
            StoreRequest::ReadChanges { .. } => "feed",
            StoreRequest::Transact { .. } => "transact",
            StoreRequest::ListHosts => "list",
            StoreRequest::Heartbeat(_) => "heartbeat",
        };
        self.store_calls.push((self.now, index, kind));
        let is_down = self.without_store.contains(&self.domain(index));
        let due = self.now + if is_down { STORE_TIMEOUT } else { LATENCY * 2 + self.store_delay };
        let asked_at = self.now;
        let reached = if is_down { Err(StoreFault::Unavailable) } else { Ok(()) };
        let event = match request {
            StoreRequest::ReadChanges { after } => {
                let result = reached.map(|()| self.table.changes(after));
                if result.is_ok() && self.fails_after.is_some_and(|at| self.table.revision >= at) {
                    let domains = (0..self.nodes.len()).map(|index| self.domain(index));
                    self.without_store.extend(domains.collect::<Vec<_>>());
                }
                StoreEvent::ChangesRead { after, asked_at, result }
            }
            StoreRequest::Transact { purpose, txn } => {
                let mut result = reached.and_then(|()| self.table.transact(txn));
                if result.is_ok() && self.lost_answers > 0 {
                    self.lost_answers -= 1;
                    result = Err(StoreFault::Unavailable);
                }
                StoreEvent::Transacted { purpose, asked_at, result }
            }
            StoreRequest::ListHosts => {
                let result = reached.map(|()| self.host_list());
                StoreEvent::HostsListed { result }
            }
            StoreRequest::Heartbeat(entry) => {
                if !is_down {
                    self.table.hosts.insert(entry.host.clone(), entry);
                }
                return;
            }
        };
        self.post(index, due, Delivery::Input(HostInput::Store(event)));
    }

    fn host_list(&self) -> HostList {
        HostList { hosts: self.table.hosts.values().cloned().collect() }
    }
}

fn encoded_size(value: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(value).unwrap().len()
}

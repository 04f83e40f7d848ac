//! Decision cores of several hosts on virtual time.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::json;
use tanagerdeal_core::host::HostState;
use tanagerdeal_core::message::fleet::{MemberEvent, PeerEvent, StoreEvent, StoreRequest};
use tanagerdeal_core::message::{CallTag, EndpointKey, HostInput, HostOutput, PeerCallKey};
use tanagerdeal_core::profile::{HostIdentity, HostPolicies, HostProfile, HostTiming};
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus, TermStart};
use tanagerdeal_wire::peer::{PeerReply, PeerRequest};
use tanagerdeal_wire::record::RecordKind;
use tanagerdeal_wire::{DomainName, EndpointName, GroupName, HostName};

use super::cost::{CostCounter, HostCost};
use super::table::{MEMBERS, TableModel, domain_name, group_name, member_name};
use super::{CapacityCase, timed};

/// One-way latency of every message.
const LATENCY: Duration = Duration::from_millis(2);

/// Interval at which the cores' systems run, as in the proxy.
const TICK: Duration = Duration::from_millis(20);

/// Longest wait for a change to be in effect everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(30);

/// A request between hosts that is in flight.
struct OpenCall {
    from: usize,
    call: PeerCallKey,
    asked_at: Instant,
    deadline: Instant,
}

/// Cores, the messages between them, and what they talk to.
pub(super) struct CoreFleet {
    now: Instant,
    reset_at: Instant,
    cores: Vec<HostState>,
    costs: Vec<CostCounter>,
    names: HashMap<HostName, usize>,
    table: TableModel,
    statuses: HashMap<String, MemberStatus>,
    inputs: BTreeMap<(Instant, u64), (usize, HostInput)>,
    open: BTreeMap<u64, OpenCall>,
    last_number: u64,
}

impl CoreFleet {
    pub(super) fn new(case: &CapacityCase) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            reset_at: now,
            cores: Vec::new(),
            costs: vec![CostCounter::default(); case.hosts],
            names: HashMap::new(),
            table: TableModel::new(case),
            statuses: statuses(case.groups),
            inputs: BTreeMap::new(),
            open: BTreeMap::new(),
            last_number: 0,
        };
        for index in 0..case.hosts {
            let profile = profile(index, &domain_name(index % case.domains.max(1)));
            fleet.names.insert(profile.identity.host.clone(), index);
            fleet.cores.push(HostState::new(profile));
        }
        fleet
    }

    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Changes one customer and returns how long it took until all hosts had it in effect.
    pub(super) fn change(&mut self, number: usize) -> Duration {
        let record = json!({"rate_per_s": 100 + number, "burst": 200});
        let revision = self.table.put(RecordKind::Customer, "customer-0", record);
        let started_at = self.now;
        while self.now < started_at + CHANGE_LIMIT && !self.is_in_effect(revision) {
            self.step();
        }
        self.now - started_at
    }

    pub(super) fn reset_costs(&mut self) {
        self.costs.fill(CostCounter::default());
        self.table.reset_counts();
        self.reset_at = self.now;
    }

    pub(super) fn measured(&self) -> Duration {
        self.now - self.reset_at
    }

    pub(super) fn costs(&self, seconds: f64) -> Vec<HostCost> {
        self.costs.iter().map(|cost| cost.per_second(seconds)).collect()
    }

    pub(super) fn store_calls(&self) -> (u64, u64) {
        (self.table.reads, self.table.writes)
    }

    fn is_in_effect(&self, revision: u64) -> bool {
        self.cores.iter().all(|core| core.revision() >= revision)
    }

    fn step(&mut self) {
        let next = self.now + TICK;
        while let Some(first) = self.inputs.first_entry().filter(|first| first.key().0 <= next) {
            let ((due, _), (index, input)) = first.remove_entry();
            self.now = due.max(self.now);
            self.advance(index, Some(input));
        }
        self.now = next;
        self.expire_calls();
        for index in 0..self.cores.len() {
            self.advance(index, None);
        }
    }

    /// Hands an input, or a run of the systems, to a core and carries out what it wants.
    fn advance(&mut self, index: usize, input: Option<HostInput>) {
        let (now, core) = (self.now, &mut self.cores[index]);
        let mut outputs = Vec::new();
        let ((), took) = timed(|| match input {
            Some(input) => core.handle(now, input, &mut outputs),
            None => core.tick(now, &mut outputs),
        });
        self.costs[index].core += took;
        for output in outputs {
            self.carry_out(index, output);
        }
    }

    fn carry_out(&mut self, index: usize, output: HostOutput) {
        match output {
            HostOutput::CallStore(request) => self.call_store(index, request),
            HostOutput::ProbeMember { endpoint, api_address } => {
                self.probe(index, endpoint, &api_address);
            }
            HostOutput::SendPeer { call, host, request, deadline, .. } => {
                self.send_peer(index, call, &host, request, deadline);
            }
            HostOutput::AnswerPeer(tag, reply) => self.answer_peer(index, tag, reply),
            _ => {}
        }
    }

    fn probe(&mut self, index: usize, endpoint: EndpointKey, api_address: &str) {
        self.costs[index].probes += 1;
        let member = api_address.split(':').next().unwrap_or_default();
        if let Some(status) = self.statuses.get(member).cloned() {
            let event = MemberEvent::Answered { endpoint, asked_at: self.now, status };
            self.post(index, LATENCY * 2, HostInput::Member(event));
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
        let Some(&to) = self.names.get(host) else { return };
        self.last_number += 1;
        let tag = CallTag(self.last_number);
        self.open.insert(tag.0, OpenCall { from, call, asked_at: self.now, deadline });
        self.count(from, to, &request);
        let from = self.cores[from].identity().host.clone();
        let event = PeerEvent::Asked { tag, from, request };
        self.post(to, LATENCY, HostInput::Peer(event));
    }

    fn answer_peer(&mut self, from: usize, tag: CallTag, reply: PeerReply) {
        let Some(open) = self.open.remove(&tag.0) else { return };
        self.count(from, open.from, &reply);
        let (call, asked_at) = (open.call, open.asked_at);
        let event = PeerEvent::Answered { call, asked_at, reply: Some(reply) };
        self.post(open.from, LATENCY, HostInput::Peer(event));
    }

    fn expire_calls(&mut self) {
        let now = self.now;
        let expired: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| open.deadline <= now)
            .map(|(tag, _)| *tag)
            .collect();
        for tag in expired {
            if let Some(OpenCall { from, call, asked_at, .. }) = self.open.remove(&tag) {
                let event = PeerEvent::Answered { call, asked_at, reply: None };
                self.post(from, Duration::ZERO, HostInput::Peer(event));
            }
        }
    }

    fn call_store(&mut self, index: usize, request: StoreRequest) {
        let asked_at = self.now;
        let event = match request {
            StoreRequest::ReadChanges { after } => {
                StoreEvent::ChangesRead { after, asked_at, result: Ok(self.table.changes(after)) }
            }
            StoreRequest::Transact { purpose, txn } => {
                StoreEvent::Transacted { purpose, asked_at, result: self.table.transact(txn) }
            }
            StoreRequest::ListHosts => StoreEvent::HostsListed { result: Ok(self.table.list()) },
            StoreRequest::Heartbeat(entry) => return self.table.heartbeat(entry),
        };
        self.post(index, LATENCY * 2, HostInput::Store(event));
    }

    fn post(&mut self, to: usize, delay: Duration, input: HostInput) {
        self.last_number += 1;
        self.inputs.insert((self.now + delay, self.last_number), (to, input));
    }

    fn count(&mut self, from: usize, to: usize, message: &impl Serialize) {
        let bytes = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64);
        for index in [from, to] {
            self.costs[index].bytes += bytes;
            self.costs[index].requests += 1;
        }
    }
}

fn profile(index: usize, domain: &str) -> HostProfile {
    let host = format!("host-{index}");
    let identity = HostIdentity {
        host: HostName::new(&host).expect("a valid name"),
        domain: DomainName::new(domain).expect("a valid name"),
        incarnation: index as u64 + 1,
        peer_address: "10.0.0.1:7001".to_owned(),
        admin_address: "10.0.0.1:7002".to_owned(),
    };
    HostProfile {
        identity,
        timing: HostTiming::default(),
        policies: HostPolicies::default(),
        fleet_secret: b"secret".to_vec(),
        seed: index as u64,
    }
}

/// Statuses of all members; the first of each group is the primary.
fn statuses(groups: usize) -> HashMap<String, MemberStatus> {
    let position = LogPosition { term: 1, offset: 100 };
    let status = |group: usize, member: usize| MemberStatus {
        group: GroupName::new(&group_name(group)).expect("a valid name"),
        member: EndpointName::new(&member_name(group, member)).expect("a valid name"),
        role: if member == 0 { MemberRole::Primary } else { MemberRole::Replica },
        promised_term: 1,
        received: position,
        applied: position,
        term_history: vec![TermStart { term: 1, offset: 0 }],
        connections: 0,
        running: 0,
    };
    let all = (0..groups).flat_map(|group| (0..MEMBERS).map(move |member| (group, member)));
    all.map(|(group, member)| (member_name(group, member), status(group, member))).collect()
}

//! Test fixture: one host with catalog records and a group of three members. Tests make the calls
//! and advance the clock.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tanagerdeal_wire::key::digest_secret;
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus, TermStart};
use tanagerdeal_wire::peer::{BorrowRequest, PeerReply, PeerRequest, ShareLoan};
use tanagerdeal_wire::platform::{EntryPage, HostEntry, HostList, HostPhase, TableEntry};
use tanagerdeal_wire::{DomainName, EndpointName, GroupName, HostName};

use crate::host::HostState;
use crate::message::caller::{
    CallerAnswer, CallerCall, DispatchPlan, RequestEnding, SessionOpening,
};
use crate::message::fleet::{MemberEvent, PeerEvent, StoreEvent};
use crate::message::{
    CallTag, DispatchKey, EndpointKey, HostInput, HostOutput, PeerCallKey, SessionKey,
};
use crate::profile::{HostIdentity, HostPolicies, HostProfile, HostTiming};
use crate::share::BaseShare;
use crate::statement::StatementClass;
use crate::verdict::RequestRefusal;

pub(super) const WALL_MS: u64 = 1_800_000_000_000;

const TICK: Duration = Duration::from_millis(20);

pub(super) struct TestMember {
    pub(super) role: MemberRole,
    pub(super) promised: u64,
    pub(super) applied: LogPosition,
    pub(super) history: Vec<TermStart>,
    pub(super) is_reachable: bool,
}

pub(super) struct TestHost {
    pub(super) now: Instant,
    pub(super) state: HostState,
    pub(super) members: Vec<TestMember>,
    next_tick: Instant,
    /// Whether the store confirms the catalog at every tick.
    pub(super) is_store_reachable: bool,
    /// Outputs other than caller answers, member probes and store calls.
    pub(super) other_outputs: Vec<HostOutput>,
    answers: HashMap<CallTag, CallerAnswer>,
    revision: u64,
    tags: u64,
}

pub(super) fn at(term: u64, offset: u64) -> LogPosition {
    LogPosition { term, offset }
}

fn profile(name: &str, policies: HostPolicies) -> HostProfile {
    let identity = HostIdentity {
        host: HostName::new(name).unwrap(),
        domain: DomainName::new("d0").unwrap(),
        incarnation: 1,
        peer_address: "127.0.0.1:1".to_owned(),
        admin_address: "127.0.0.1:2".to_owned(),
    };
    let (timing, fleet_secret) = (HostTiming::default(), b"fleet".to_vec());
    HostProfile { identity, timing, policies, fleet_secret, seed: 1 }
}

fn service_record(connections: u32) -> Value {
    let member = |index: usize| {
        json!({
            "endpoint": format!("e{index}"),
            "domain": format!("d{index}"),
            "sql_address": format!("127.0.0.1:{}", 100 + index),
            "api_address": format!("127.0.0.1:{}", 200 + index),
            "connections": connections,
            "slots": 3,
        })
    };
    let members: Vec<Value> = (0..3).map(member).collect();
    json!({"schema": 1, "groups": [{"group": "g", "members": members}]})
}

fn records() -> Vec<(&'static str, Value)> {
    let key = |customer: &str| json!({"schema": 1, "customer": customer, "salt": "s", "digest": digest_secret("s", "x")});
    let customer = json!({"schema": 2, "rate_per_s": 100, "burst": 200, "max_sessions": 3});
    vec![
        ("records/service/orders", service_record(4)),
        ("records/customer/quarry", customer.clone()),
        ("records/customer/mill", customer),
        ("records/key/k1", key("quarry")),
        ("records/key/k2", key("mill")),
        ("records/route/main", json!({"schema": 1, "service": "orders"})),
        ("records/route/closed", json!({"schema": 1, "service": "orders", "customers": ["mill"]})),
        ("records/route/public", json!({"schema": 1, "service": "orders", "open": true})),
        (
            "records/route/stale",
            json!({"schema": 2, "service": "orders", "max_read_age_ms": 60_000}),
        ),
    ]
}

impl TestHost {
    /// Creates a host that has run for 5 s: its token buckets are full and its members are known.
    pub(super) fn new() -> Self {
        Self::with_policies(HostPolicies::default())
    }

    pub(super) fn with_policies(policies: HostPolicies) -> Self {
        let mut host = Self::start(Instant::now(), "h1", policies);
        let valid_until = host.now + Duration::from_secs(3_600);
        let base = BaseShare { numerator: 1, denominator: 1, rank: 0, valid_until };
        host.state.shares.set_base(host.now, base);
        host.run(5_000);
        host
    }

    /// Creates a host that has just received its records and holds no share yet.
    pub(super) fn start(now: Instant, name: &str, policies: HostPolicies) -> Self {
        let member = |index| TestMember {
            role: if index == 0 { MemberRole::Primary } else { MemberRole::Replica },
            promised: 1,
            applied: at(1, 100),
            history: vec![TermStart { term: 1, offset: 0 }],
            is_reachable: true,
        };
        let mut host = Self {
            now,
            state: HostState::new(profile(name, policies)),
            members: (0..3).map(member).collect(),
            next_tick: now + TICK,
            is_store_reachable: true,
            other_outputs: Vec::new(),
            answers: HashMap::new(),
            revision: 0,
            tags: 0,
        };
        for (key, value) in records() {
            host.put(key, Some(value));
        }
        host
    }

    pub(super) fn put(&mut self, key: &str, value: Option<Value>) {
        let after = self.revision;
        self.revision += 1;
        let entry = TableEntry { key: key.to_owned(), revision: self.revision, value };
        self.read_changes(after, vec![entry]);
    }

    fn read_changes(&mut self, after: u64, entries: Vec<TableEntry>) {
        let page = EntryPage { revision: self.revision, entries };
        let event = StoreEvent::ChangesRead { after, asked_at: self.now, result: Ok(page) };
        self.input(HostInput::Store(event));
    }

    /// Advances the clock, with a tick every 20 ms. Reachable members answer probes at once.
    pub(super) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.next_tick <= end {
            self.now = self.next_tick;
            self.next_tick += TICK;
            if self.is_store_reachable {
                self.read_changes(self.revision, Vec::new());
            }
            let mut outputs = Vec::new();
            self.state.tick(self.now, &mut outputs);
            self.process_outputs(outputs);
        }
        self.now = end;
    }

    pub(super) fn input(&mut self, input: HostInput) {
        let mut outputs = Vec::new();
        self.state.handle(self.now, input, &mut outputs);
        self.process_outputs(outputs);
    }

    fn process_outputs(&mut self, outputs: Vec<HostOutput>) {
        for output in outputs {
            match output {
                HostOutput::AnswerCaller(tag, answer) => {
                    assert!(self.answers.insert(tag, answer).is_none(), "two answers to {tag:?}");
                }
                HostOutput::ProbeMember { endpoint, .. } => self.answer_probe(endpoint),
                HostOutput::CallStore(_) => {}
                other => self.other_outputs.push(other),
            }
        }
    }

    fn answer_probe(&mut self, endpoint: EndpointKey) {
        let index = self.index(endpoint);
        let (member, asked_at) = (&self.members[index], self.now);
        let status = MemberStatus {
            group: GroupName::new("g").unwrap(),
            member: EndpointName::new(&format!("e{index}")).unwrap(),
            role: member.role,
            promised_term: member.promised,
            received: member.applied,
            applied: member.applied,
            term_history: member.history.clone(),
            connections: 0,
            running: 0,
        };
        let event = match member.is_reachable {
            true => MemberEvent::Answered { endpoint, asked_at, status },
            false => MemberEvent::Unreachable { endpoint, asked_at },
        };
        self.input(HostInput::Member(event));
    }

    pub(super) fn index(&self, endpoint: EndpointKey) -> usize {
        let name = &self.state.endpoints.address(endpoint).unwrap().name;
        name.as_str()[1..].parse().unwrap()
    }

    /// Makes a call and returns its tag.
    pub(super) fn call(&mut self, call: CallerCall) -> CallTag {
        let tag = self.next_tag();
        self.input(HostInput::Caller(tag, call));
        tag
    }

    pub(super) fn answer(&mut self, tag: CallTag) -> Option<CallerAnswer> {
        self.answers.remove(&tag)
    }

    pub(super) fn ask(&mut self, call: CallerCall) -> CallerAnswer {
        let tag = self.call(call);
        self.answer(tag).expect("the call is answered at once")
    }

    pub(super) fn open_with(
        &mut self,
        (user, database, password): (&str, &str, Option<&str>),
        settings: &[(&str, &str)],
    ) -> Result<SessionKey, RequestRefusal> {
        let settings = settings
            .iter()
            .map(|(name, value)| (format!("tanagerdeal.{name}"), (*value).to_owned()));
        let opening = SessionOpening {
            user: user.to_owned(),
            database: database.to_owned(),
            password: password.map(str::to_owned),
            settings: settings.collect(),
            wall_ms: WALL_MS,
        };
        match self.ask(CallerCall::OpenSession(opening)) {
            CallerAnswer::SessionOpened { session } => Ok(session),
            CallerAnswer::Refused(refusal) => Err(refusal),
            other => panic!("unexpected answer {other:?}"),
        }
    }

    /// Opens a session of customer `quarry`.
    pub(super) fn open(&mut self) -> SessionKey {
        self.open_with(("quarry", "main", Some("k1.x")), &[]).unwrap()
    }

    pub(super) fn set(&mut self, session: SessionKey, name: &str, value: &str) -> CallerAnswer {
        let (name, value) = (format!("tanagerdeal.{name}"), value.to_owned());
        self.ask(CallerCall::ChangeSetting { session, name, value })
    }

    pub(super) fn show(&mut self, session: SessionKey, name: &str) -> String {
        let name = format!("tanagerdeal.{name}");
        match self.ask(CallerCall::ShowSetting { session, name }) {
            CallerAnswer::SettingShown(value) => value,
            other => panic!("unexpected answer {other:?}"),
        }
    }

    pub(super) fn submit(&mut self, session: SessionKey, class: StatementClass) -> CallTag {
        self.call(CallerCall::PlaceRequest { session, class, is_retry: false })
    }

    /// Places a request and waits for the result for at most a few ticks, as for a confirmed
    /// position.
    pub(super) fn try_place(
        &mut self,
        session: SessionKey,
        class: StatementClass,
    ) -> Result<DispatchPlan, RequestRefusal> {
        let tag = self.submit(session, class);
        self.await_result(tag)
    }

    pub(super) fn place(&mut self, session: SessionKey, class: StatementClass) -> DispatchPlan {
        self.try_place(session, class).expect("the request is placed")
    }

    pub(super) fn retry(&mut self, session: SessionKey) -> Result<DispatchPlan, RequestRefusal> {
        let class = StatementClass::Read;
        let tag = self.call(CallerCall::PlaceRequest { session, class, is_retry: true });
        self.await_result(tag)
    }

    /// Returns the plan or refusal of a request, which must come within a few ticks.
    pub(super) fn await_result(&mut self, tag: CallTag) -> Result<DispatchPlan, RequestRefusal> {
        for _ in 0..8 {
            match self.answer(tag) {
                Some(CallerAnswer::RequestPlaced(plan)) => return Ok(plan),
                Some(CallerAnswer::Refused(refusal)) => return Err(refusal),
                Some(other) => panic!("unexpected answer {other:?}"),
                None => self.run(20),
            }
        }
        panic!("the request still waits")
    }

    pub(super) fn end(
        &mut self,
        dispatch: DispatchKey,
        ending: RequestEnding,
        in_transaction: bool,
    ) {
        self.call(CallerCall::EndRequest { dispatch, ending, seen: None, in_transaction });
    }

    pub(super) fn complete(&mut self, dispatch: DispatchKey) {
        self.end(dispatch, RequestEnding::Answered, false);
    }

    /// Confirms a commit, which must succeed or fail within 40 ticks.
    pub(super) fn commit(
        &mut self,
        dispatch: DispatchKey,
        position: LogPosition,
    ) -> Result<String, RequestRefusal> {
        let tag = self.call(CallerCall::ConfirmCommit { dispatch, position });
        for _ in 0..40 {
            match self.answer(tag) {
                Some(CallerAnswer::CommitConfirmed { token }) => return Ok(token),
                Some(CallerAnswer::Refused(refusal)) => return Err(refusal),
                Some(other) => panic!("unexpected answer {other:?}"),
                None => self.run(20),
            }
        }
        panic!("the commit still waits")
    }

    /// Writes at an offset. All members apply the write at once, or only the primary if it is not
    /// replicated.
    pub(super) fn write(
        &mut self,
        session: SessionKey,
        offset: u64,
        is_replicated: bool,
    ) -> String {
        let plan = self.place(session, StatementClass::Write);
        let count = if is_replicated { 3 } else { 1 };
        for member in &mut self.members[..count] {
            member.applied.offset = offset;
        }
        let term = self.members[0].applied.term;
        let token = self.commit(plan.dispatch, at(term, offset)).expect("the commit is confirmed");
        self.complete(plan.dispatch);
        token
    }

    /// Makes member 1 the primary of term 2, which begins at an offset.
    pub(super) fn fail_over(&mut self, offset: u64) {
        for (index, member) in self.members.iter_mut().enumerate() {
            member.role = if index == 1 { MemberRole::Primary } else { MemberRole::Replica };
            member.promised = 2;
            member.history.push(TermStart { term: 2, offset });
            member.applied = at(2, offset + 1);
        }
        self.run(1_000);
    }

    /// Writes at the primary of term 2.
    pub(super) fn write_after_failover(&mut self, session: SessionKey, offset: u64) -> String {
        let plan = self.place(session, StatementClass::Write);
        self.members.iter_mut().for_each(|member| member.applied = at(2, offset));
        let token = self.commit(plan.dispatch, at(2, offset)).expect("the commit is confirmed");
        self.complete(plan.dispatch);
        token
    }

    /// Makes host `h2` known as a live peer.
    pub(super) fn join_peer(&mut self) {
        self.list_hosts(&["h2".to_owned()]);
        self.other_outputs.clear();
    }

    pub(super) fn list_hosts(&mut self, names: &[String]) {
        let entry = |name: &String| HostEntry {
            host: HostName::new(name).unwrap(),
            domain: DomainName::new("d1").unwrap(),
            incarnation: 1,
            peer_address: "127.0.0.1:3".to_owned(),
            admin_address: "127.0.0.1:4".to_owned(),
            phase: HostPhase::Live,
        };
        let result = Ok(HostList { hosts: names.iter().map(entry).collect() });
        self.input(HostInput::Store(StoreEvent::HostsListed { result }));
    }

    /// Changes the total number of connections that all hosts together may open to each member.
    pub(super) fn set_total_connections(&mut self, count: u32) {
        self.put("records/service/orders", Some(service_record(count)));
    }

    pub(super) fn next_tag(&mut self) -> CallTag {
        self.tags += 1;
        CallTag(self.tags)
    }

    /// Sets a base share of one ninth that includes a connection to the primary.
    pub(super) fn set_ninth_base_share(&mut self) {
        let valid_until = self.now + Duration::from_secs(600);
        let base = |rank| BaseShare { numerator: 1, denominator: 9, rank, valid_until };
        let primary = EndpointName::new("e0").unwrap();
        let base = (0..9).map(base).find(|base| base.connections(&primary, 4) > 0).unwrap();
        self.state.shares.set_base(self.now, base);
    }

    /// Returns the last request for a loan.
    pub(super) fn last_borrow_request(&self) -> Option<(PeerCallKey, BorrowRequest)> {
        self.other_outputs.iter().rev().find_map(|output| match output {
            HostOutput::SendPeer { call, request: PeerRequest::Borrow(request), .. } => {
                Some((*call, request.clone()))
            }
            _ => None,
        })
    }

    /// Answers a request for a loan.
    pub(super) fn answer_borrow(&mut self, call: PeerCallKey, loan: ShareLoan) {
        let (asked_at, reply) = (self.now, Some(PeerReply::Loan(loan)));
        self.input(HostInput::Peer(PeerEvent::Answered { call, asked_at, reply }));
    }
}

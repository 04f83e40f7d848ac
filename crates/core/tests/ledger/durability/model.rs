//! A group with its endpoints and logs, and the host that replaces its primaries.

use std::collections::HashSet;
use std::time::Duration;

use proptest::prelude::*;
use tanagerdeal_core::ledger::absence::AbsentEndpoint;
use tanagerdeal_core::ledger::clock::BootInstant;
use tanagerdeal_core::ledger::endpoint::{
    EndpointRecord, EndpointRole, EndpointTable, LogPosition,
};
use tanagerdeal_core::ledger::failover::choice::{CATCH_UP_LIMIT, STATUS_WAIT_LIMIT};
use tanagerdeal_core::ledger::failover::step::{ChangeStep, ChangeView, next_step};
use tanagerdeal_core::ledger::failover::{CandidateStatus, UnansweredCandidate};
use tanagerdeal_core::ledger::group::GroupRecord;
use tanagerdeal_core::ledger::position::PrimaryObservation;

use crate::support::at;

/// Endpoints of the group.
const MEMBERS: usize = 3;
/// Step of the model's clock, in milliseconds.
const STEP_MS: u64 = 100;
/// Time after which the registration of an endpoint that has stopped is gone, in milliseconds.
const EXPIRY_MS: u64 = 3_600;
/// Time for which a missing registration is kept.
const MISSING_GRACE: Duration = Duration::from_millis(5_000);
/// Time for which an endpoint that drains goes on, in milliseconds.
const DRAIN_MS: u64 = 9_000;
/// Pause after an attempt that promoted nothing, in milliseconds.
const PAUSE_MS: u64 = 1_000;
/// Time after which the group serves again once nothing is wrong any more, in milliseconds.
const HEALED_MS: u64 = 50_000;

/// One endpoint. A crash keeps its place, address and log, and changes its identity.
struct ModelMember {
    /// Starts under another identity so far.
    starts: u64,
    /// Number of its process in the order of their starts.
    born: u64,
    /// Terms of its commits with their numbers in the order of the log.
    log: Vec<(u64, u64)>,
    term: u64,
    leads: bool,
    is_deaf: bool,
    /// When it announced that it leaves.
    draining_since: Option<u64>,
    /// When it stopped, and when it is back.
    down: Option<(u64, u64)>,
    /// Identities that registered at this place under an address of their own.
    moves: u16,
}

/// What may happen to the group.
#[derive(Clone, Copy, Debug)]
pub enum GroupEvent {
    /// A client writes.
    Write,
    /// An endpoint crashes, and is back with its log after a time.
    Crash(usize, u64),
    /// A replica receives nothing, or receives again.
    Deafen(usize, bool),
    /// An endpoint is replaced: it drains, and leaves when its successor has its log.
    Drain(usize),
    /// An endpoint starts again under its identity, without its log.
    Empty(usize),
    /// Another host replaces primaries from now on. It learns from the former one which endpoints
    /// are away.
    Replace,
    /// The host knows which positions were seen, or not.
    Know(bool),
    /// Time passes.
    Pass(u64),
}

/// The group, and the host that replaces its primaries.
pub struct GroupModel {
    now: u64,
    /// Replicas that have received a commit before it is acknowledged.
    sync_replicas: usize,
    /// The number of them by which the host decides.
    known_sync: usize,
    members: Vec<ModelMember>,
    endpoints: EndpointTable,
    record: GroupRecord,
    /// When the present attempt to replace the primary began.
    began_at: Option<u64>,
    pause_until: u64,
    /// Identities that are used no more, and when their registrations are gone.
    former: Vec<(String, u64)>,
    /// Processes that have started again so far.
    births: u64,
    next: u64,
    acknowledged: Vec<u64>,
    /// Acknowledged commits that were missing in the log of a primary.
    given_up: HashSet<u64>,
    seen: LogPosition,
    knows_seen: bool,
    /// Acknowledged commits that a promoted endpoint lacked.
    pub lost: usize,
    /// Commits that were given up and are in the log of a later primary.
    pub returned: usize,
    /// Promotions.
    pub promotions: usize,
}

impl ModelMember {
    fn position(&self) -> LogPosition {
        let term = self.log.last().map_or(0, |(term, _)| *term);
        LogPosition { term, number: self.log.len() as u64 }
    }

    fn is_running(&self) -> bool {
        self.down.is_none()
    }

    fn has(&self, commit: u64) -> bool {
        self.log.iter().any(|(_, known)| *known == commit)
    }
}

impl GroupModel {
    /// A group in order. The host decides as if `known_sync` replicas were synchronous.
    pub fn new(sync_replicas: usize, known_sync: usize) -> Self {
        let member = |index: usize| ModelMember {
            starts: 0,
            born: 0,
            log: Vec::new(),
            term: 1,
            leads: index == 0,
            is_deaf: false,
            draining_since: None,
            down: None,
            moves: 0,
        };
        let record = GroupRecord {
            group: "g".to_owned(),
            term: 1,
            primary: "m0.0".to_owned(),
            change: None,
            term_start: None,
            verified_era: 0,
            former_starts: Vec::new(),
        };
        let mut model = Self {
            now: 0,
            sync_replicas,
            known_sync,
            members: (0..MEMBERS).map(member).collect(),
            endpoints: EndpointTable::default(),
            record,
            began_at: None,
            pause_until: 0,
            former: Vec::new(),
            births: 0,
            next: 0,
            acknowledged: Vec::new(),
            given_up: HashSet::new(),
            seen: LogPosition::default(),
            knows_seen: true,
            lost: 0,
            returned: 0,
            promotions: 0,
        };
        (0..MEMBERS).for_each(|index| model.register(index));
        model
    }

    fn clock(&self) -> BootInstant {
        at(self.now)
    }

    fn id(&self, index: usize) -> String {
        format!("m{index}.{}", self.members[index].starts)
    }

    fn record_of(&self, index: usize) -> EndpointRecord {
        let member = &self.members[index];
        let port = member.moves * MEMBERS as u16 + index as u16 + 1;
        EndpointRecord {
            id: self.id(index),
            group: "g".to_owned(),
            address: ([10, 0, 0, 1], port).into(),
            domain: format!("d{index}"),
            slots: 3,
            is_draining: member.draining_since.is_some(),
            role: if member.leads { EndpointRole::Primary } else { EndpointRole::Replica },
            born: Some(member.born),
        }
    }

    fn register(&mut self, index: usize) {
        let (record, now) = (self.record_of(index), self.clock());
        self.endpoints.register(record, now);
    }

    fn leader(&self) -> Option<usize> {
        let newest = self.members.iter().map(|member| member.term).max()?;
        let leads = |member: &ModelMember| member.leads && member.term == newest;
        self.members.iter().position(|member| leads(member) && member.is_running())
    }

    /// Lets the replicas receive what the primary has, and roll back what it lacks.
    fn replicate(&mut self) {
        let Some(leader) = self.leader() else { return };
        let (term, log) = (self.members[leader].term, self.members[leader].log.clone());
        for (index, member) in self.members.iter_mut().enumerate() {
            if index != leader && member.is_running() && !member.is_deaf {
                (member.term, member.log, member.leads) = (term, log.clone(), false);
            }
        }
    }

    /// A client writes to the primary that the row names, unless it is being replaced.
    fn write(&mut self) {
        let Some(leader) = self.leader() else { return };
        if self.began_at.is_some() || self.id(leader) != self.record.primary {
            return;
        }
        self.next += 1;
        let (term, commit) = (self.members[leader].term, self.next);
        self.members[leader].log.push((term, commit));
        self.replicate();
        let has = |(index, member): &(usize, &ModelMember)| {
            *index != leader && member.is_running() && member.has(commit)
        };
        if self.members.iter().enumerate().filter(has).count() >= self.sync_replicas {
            self.acknowledged.push(commit);
            self.seen = self.members[leader].position();
            let observation = PrimaryObservation { sent_at: self.clock(), position: self.seen };
            self.endpoints.absences.note_position("g", &observation);
        }
    }

    /// Applies an event.
    pub fn apply(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Write => self.write(),
            GroupEvent::Crash(index, away) if self.members[index].is_running() => {
                self.members[index].down = Some((self.now, self.now + away));
            }
            GroupEvent::Crash(..) => (),
            GroupEvent::Deafen(index, is_deaf) => {
                self.members[index].is_deaf = is_deaf;
                self.replicate();
            }
            GroupEvent::Drain(index) if self.members[index].is_running() => {
                self.members[index].draining_since.get_or_insert(self.now);
                self.register(index);
            }
            GroupEvent::Drain(_) => (),
            GroupEvent::Empty(index) => self.empty(index),
            GroupEvent::Replace => self.replace_host(),
            GroupEvent::Know(knows_seen) => self.knows_seen = knows_seen,
            GroupEvent::Pass(millis) => self.pass(millis),
        }
    }

    /// A replica that runs starts again without its log.
    fn empty(&mut self, index: usize) {
        let member = &mut self.members[index];
        if member.leads || !member.is_running() {
            return;
        }
        self.births += 1;
        (member.log, member.term, member.is_deaf) = (Vec::new(), 0, false);
        member.born = self.births;
        self.register(index);
        self.replicate();
    }

    fn replace_host(&mut self) {
        let now = self.clock();
        let absent: Vec<_> =
            self.endpoints.absences.of_group("g").map(|absent| absent.share(now)).collect();
        let known: Vec<(EndpointRecord, Option<BootInstant>)> = self
            .endpoints
            .of_group("g")
            .map(|(_, state)| (state.record.clone(), state.missing_since))
            .collect();
        self.endpoints = EndpointTable::default();
        for (record, missing_since) in known {
            let id = record.id.clone();
            self.endpoints.register(record, now);
            missing_since.into_iter().for_each(|since| self.endpoints.note_missing(&id, since));
        }
        for absent in absent {
            self.endpoints.adopt_absence("g", &absent, now);
        }
        self.began_at = None;
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(STEP_MS) {
            self.now += STEP_MS;
            (0..MEMBERS).for_each(|index| self.update_member(index));
            let now = self.clock();
            for (id, _) in self.former.iter().filter(|(_, gone_at)| *gone_at <= self.now) {
                self.endpoints.note_missing(id, now);
            }
            self.endpoints.remove_missing(now.before(MISSING_GRACE), now);
            self.replicate();
            self.replace_primary();
        }
    }

    /// Lets an endpoint come back, its registration expire, and its successor take over.
    fn update_member(&mut self, index: usize) {
        let (now, id) = (self.clock(), self.id(index));
        match (self.members[index].down, self.members[index].draining_since) {
            (Some((stopped_at, back_at)), _) if self.now >= back_at => {
                self.former.push((id, stopped_at + EXPIRY_MS));
                let newest = self.members.iter().map(|member| member.term).max().unwrap_or(0);
                self.births += 1;
                let member = &mut self.members[index];
                member.leads &= member.term == newest;
                (member.down, member.draining_since) = (None, None);
                (member.starts, member.born) = (member.starts + 1, self.births);
                self.register(index);
            }
            (Some((stopped_at, _)), _) if self.now >= stopped_at + EXPIRY_MS => {
                self.endpoints.note_missing(&id, now);
            }
            (None, Some(since)) if self.now >= since + DRAIN_MS => {
                let newest = self.members.iter().map(|member| member.term).max().unwrap_or(0);
                self.endpoints.note_missing(&id, now);
                self.births += 1;
                let member = &mut self.members[index];
                member.leads &= member.term == newest;
                member.draining_since = None;
                (member.starts, member.moves) = (member.starts + 1, member.moves + 1);
                member.born = self.births;
                self.register(index);
            }
            _ => (),
        }
    }

    fn statuses(&self) -> (Vec<CandidateStatus>, Vec<UnansweredCandidate>) {
        let (mut answered, mut unanswered) = (Vec::new(), Vec::new());
        for (_, state) in self.endpoints.of_group("g") {
            let place = (0..MEMBERS).find(|index| self.id(*index) == state.record.id);
            let running = place.filter(|index| self.members[*index].is_running());
            let member = running.map(|index| &self.members[index]);
            let role = match member {
                Some(member) if member.leads => EndpointRole::Primary,
                Some(_) => EndpointRole::Replica,
                None => state.record.role,
            };
            let status = CandidateStatus {
                id: state.record.id.clone(),
                domain: state.record.domain.clone(),
                role,
                term: member.map_or(0, |member| member.term),
                received: member.map_or_else(LogPosition::default, ModelMember::position),
                is_eligible: !state.record.is_draining && state.missing_since.is_none(),
            };
            match member {
                Some(_) => answered.push(status),
                None => unanswered.push(UnansweredCandidate {
                    status,
                    is_running: false,
                    has_successor: self.endpoints.has_successor(state),
                }),
            }
        }
        (answered, unanswered)
    }

    /// Replaces a primary that does not answer or leaves, one step at a time.
    fn replace_primary(&mut self) {
        let place = (0..MEMBERS).find(|index| self.id(*index) == self.record.primary);
        let primary = place.map(|index| &self.members[index]);
        let is_leaving = primary.is_some_and(|member| member.draining_since.is_some());
        let is_serving = place.is_some() && place == self.leader();
        if self.now < self.pause_until || is_serving && !is_leaving && self.began_at.is_none() {
            return;
        }
        if self.endpoints.find(&self.record.primary).is_none() {
            let (primary, now) = (self.record.primary.clone(), self.clock());
            self.endpoints.absences.note_unregistered(&primary, "g", now);
        }
        let began_at = *self.began_at.get_or_insert(self.now);
        let waited = Duration::from_millis(self.now - began_at);
        let (statuses, unanswered) = self.statuses();
        let absent: Vec<AbsentEndpoint> = self.endpoints.absences.of_group("g").cloned().collect();
        let record = self.record.clone();
        let view = ChangeView {
            record: &record,
            is_verified: true,
            statuses: &statuses,
            unanswered: &unanswered,
            absent: &absent,
            sync_replicas: self.known_sync,
            acknowledged: if self.knows_seen { self.seen } else { LogPosition::default() },
            is_status_wait_over: waited >= STATUS_WAIT_LIMIT,
            is_catch_up_over: waited >= CATCH_UP_LIMIT,
            is_leaving,
            is_accepted: false,
            is_call_over: true,
            now: at(self.now),
            primaries: &|_| 0,
        };
        match next_step(view) {
            ChangeStep::Keep(_) => self.began_at = None,
            ChangeStep::Publish(found) => self.publish(found),
            ChangeStep::Promote(chosen) => self.promote(chosen),
            ChangeStep::Wait => (),
            ChangeStep::NoCandidate | ChangeStep::Withhold => {
                (self.began_at, self.pause_until) = (None, self.now + PAUSE_MS);
            }
        }
    }

    fn promote(&mut self, chosen: &CandidateStatus) {
        let place = (0..MEMBERS).find(|index| self.id(*index) == chosen.id).unwrap();
        let newest = self.members.iter().map(|member| member.term).max().unwrap_or(0);
        let member = &self.members[place];
        // The platform changes nothing for the present primary.
        if member.leads && member.term == newest {
            return self.publish(chosen);
        }
        self.promotions += 1;
        let lacks = |commit: &&u64| !member.has(**commit);
        let missing: Vec<u64> = self.acknowledged.iter().filter(lacks).copied().collect();
        self.lost += missing.len();
        self.returned += self.given_up.iter().filter(|commit| member.has(**commit)).count();
        self.given_up.extend(missing);
        let member = &mut self.members[place];
        (member.leads, member.term) = (true, newest + 1);
        let status =
            CandidateStatus { term: newest + 1, role: EndpointRole::Primary, ..chosen.clone() };
        self.replicate();
        self.publish(&status);
    }

    fn publish(&mut self, found: &CandidateStatus) {
        if found.term > self.record.term {
            self.seen = LogPosition::default();
        }
        self.record = self.record.succeeded_by(&found.id, found.term, found.term_start());
        self.began_at = None;
    }

    /// Whether the group accepts writes again some time after nothing is wrong any more.
    pub fn serves_when_healed(&mut self) -> bool {
        (0..MEMBERS).for_each(|index| self.apply(GroupEvent::Deafen(index, false)));
        self.pass(HEALED_MS);
        let before = self.acknowledged.len();
        self.write();
        self.acknowledged.len() > before
    }
}

/// Random series of events.
pub fn events() -> impl Strategy<Value = Vec<GroupEvent>> {
    let event = prop_oneof![
        6 => Just(GroupEvent::Write),
        3 => (0..MEMBERS, 500..9_000_u64).prop_map(|(index, away)| GroupEvent::Crash(index, away)),
        3 => (0..MEMBERS, any::<bool>()).prop_map(|(index, is)| GroupEvent::Deafen(index, is)),
        1 => (0..MEMBERS).prop_map(GroupEvent::Drain),
        1 => (0..MEMBERS).prop_map(GroupEvent::Empty),
        1 => Just(GroupEvent::Replace),
        1 => any::<bool>().prop_map(GroupEvent::Know),
        4 => (100..8_000_u64).prop_map(GroupEvent::Pass),
    ];
    prop::collection::vec(event, 1..40)
}

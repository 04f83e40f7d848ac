//! Messages between hosts and members, and their effect on delivery.

use std::time::{Duration, Instant};

use rand::Rng as _;
use tanagerdeal_wire::member::{LogPosition, MemberStatus, TermReply};
use tanagerdeal_wire::record::WriteDurability;

use super::super::super::settle_waits;
use super::{EndedCommit, World};
use crate::confirm::{ConfirmRequest, ConfirmResult, ConfirmWaiter};
use crate::message::fleet::{MemberEvent, TermCommand};
use crate::message::{DispatchKey, HostOutput};
use crate::routing::{RouteChoice, RouteQuery};

/// Time after which an unanswered probe is reported as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// A message in transit.
pub(super) enum Delivery {
    Probe { host: usize, member: usize, asked_at: Instant },
    Command { host: usize, member: usize, command: TermCommand },
    Write { host: usize, member: usize },
    Event { host: usize, event: Box<MemberEvent> },
    Commit { host: usize, id: u64, position: LogPosition },
}

impl World {
    fn send(&mut self, delivery: Delivery) {
        let delay = Duration::from_micros(self.random.random_range(500..6_000));
        self.send_at(self.now + delay, delivery);
    }

    fn send_at(&mut self, at: Instant, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }

    fn is_lost(&mut self, host: usize, member: usize) -> bool {
        let by_chance = self.random.random_range(0..100) < self.loss;
        by_chance || self.cut.contains(&(host, member)) || self.frozen.contains(&member)
    }

    pub(super) fn execute(&mut self, host: usize, outputs: Vec<HostOutput>) {
        let asked_at = self.now;
        for output in outputs {
            match output {
                HostOutput::ProbeMember { endpoint, .. } => {
                    let member = self.index(host, endpoint);
                    self.send(Delivery::Probe { host, member, asked_at });
                    let event = Box::new(MemberEvent::Unreachable { endpoint, asked_at });
                    self.send_at(asked_at + PROBE_TIMEOUT, Delivery::Event { host, event });
                }
                HostOutput::CommandMember { endpoint, command, .. } => {
                    let member = self.index(host, endpoint);
                    self.send(Delivery::Command { host, member, command });
                }
                _ => {}
            }
        }
        self.collect_results(host);
    }

    fn collect_results(&mut self, host: usize) {
        for ConfirmResult { waiter, outcome } in self.hosts[host].confirms.take_results() {
            let ConfirmWaiter::Commit(key) = waiter else { continue };
            let number = slotmap::Key::data(&key).as_ffi();
            if let Some((id, position, since)) = self.open.remove(&(host, number)) {
                let at = self.now;
                self.commits.push(EndedCommit { id, position, since, at, outcome });
            }
        }
    }

    /// Makes a host wait for the confirmation of a commit.
    pub(in super::super) fn confirm(&mut self, host: usize, id: u64, position: LogPosition) {
        let key = DispatchKey::from(slotmap::KeyData::from_ffi((1 << 32) | id));
        let number = slotmap::Key::data(&key).as_ffi();
        self.open.insert((host, number), (id, position, self.now));
        let group = self.group(host);
        self.hosts[host].confirms.add(ConfirmRequest {
            waiter: ConfirmWaiter::Commit(key),
            group,
            position,
            since: self.now,
            replicated_by: self.now + Duration::from_millis(400),
            deadline: self.now + Duration::from_secs(5),
            durability: WriteDurability::Term,
        });
        self.settle(host);
    }

    pub(in super::super) fn settle(&mut self, host: usize) {
        let mut outputs = Vec::new();
        settle_waits(&mut self.hosts[host], self.now, &mut outputs);
        self.execute(host, outputs);
    }

    pub(in super::super) fn handle(&mut self, host: usize, event: MemberEvent) {
        let mut outputs = Vec::new();
        super::super::super::handle_member(&mut self.hosts[host], self.now, event, &mut outputs);
        settle_waits(&mut self.hosts[host], self.now, &mut outputs);
        self.execute(host, outputs);
    }

    /// Records a request on the group at a host.
    pub(in super::super) fn use_group(&mut self, host: usize) {
        let mut outputs = Vec::new();
        let group = self.group(host);
        super::super::super::note_use(&mut self.hosts[host], self.now, group, &mut outputs);
        self.execute(host, outputs);
    }

    /// The route that a host would choose for a request.
    pub(in super::super) fn choose(
        &self,
        host: usize,
        is_write: bool,
        watermark: LogPosition,
    ) -> RouteChoice {
        let query = RouteQuery {
            group: self.group(host),
            is_write,
            watermark,
            max_age: Duration::ZERO,
            excluded: Vec::new(),
            deadline: self.now + Duration::from_secs(5),
        };
        self.hosts[host].endpoints.choose(self.now, &query)
    }

    /// Sends a write from a host to its primary. Returns `false` if it knows no primary.
    pub(in super::super) fn write(&mut self, host: usize) -> bool {
        match self.choose(host, true, LogPosition::default()) {
            RouteChoice::Endpoint { endpoint, .. } => {
                let member = self.index(host, endpoint);
                self.send(Delivery::Write { host, member });
                true
            }
            _ => false,
        }
    }

    pub(super) fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Probe { host, member, asked_at } if !self.is_lost(host, member) => {
                let status = self.members[member].status(&self.group_name);
                self.answer(host, member, asked_at, status);
            }
            Delivery::Command { host, member, command } if !self.is_lost(host, member) => {
                self.run_command(host, member, command);
            }
            Delivery::Write { host, member } if !self.is_lost(host, member) => {
                self.writes += 1;
                let id = self.writes;
                if let Some(position) = self.members[member].write(id) {
                    self.send(Delivery::Commit { host, id, position });
                }
            }
            Delivery::Event { host, .. } | Delivery::Commit { host, .. }
                if self.paused.contains(&host) =>
            {
                self.held[host].push(delivery);
            }
            Delivery::Event { host, event } => self.handle(host, *event),
            Delivery::Commit { host, id, position } => self.confirm(host, id, position),
            _ => {}
        }
    }

    fn answer(&mut self, host: usize, member: usize, asked_at: Instant, status: MemberStatus) {
        if !self.is_lost(host, member) {
            let endpoint = self.key(host, member);
            let event = Box::new(MemberEvent::Answered { endpoint, asked_at, status });
            self.send(Delivery::Event { host, event });
        }
    }

    fn run_command(&mut self, host: usize, member: usize, command: TermCommand) {
        let term_count = self.members[member].history.len();
        let reply: TermReply = self.members[member].command(&self.group_name, &command);
        if self.members[member].history.len() > term_count {
            self.promotions.push((self.now, self.members[member].promised, member));
        }
        if !self.is_lost(host, member) {
            let endpoint = self.key(host, member);
            let reply = Some(reply);
            let event = Box::new(MemberEvent::Commanded { endpoint, command, reply });
            self.send(Delivery::Event { host, event });
        }
    }
}

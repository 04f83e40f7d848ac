//! Simulation of several hosts and one group of model members, on virtual time. The seed determines
//! the delays and losses of messages.

mod delivery;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::peer::{GroupAnnouncement, GroupSuspicion, PeerState};
use tanagerdeal_wire::record::{
    DomainPhase, EndpointPhase, GroupRecord, MemberRecord, ServiceRecord,
};
use tanagerdeal_wire::{DomainName, GroupName, HostName, ServiceName};

use super::super::{announcements, run_with, suspicions};
use super::model::ModelMember;
use crate::confirm::ConfirmOutcome;
use crate::failover::PeerView;
use crate::host::HostState;
use crate::message::{EndpointKey, GroupKey};
use crate::profile::{HostIdentity, HostPolicies, HostProfile, HostTiming};
use crate::routing::{RouteChoice, RouteSettings};
use delivery::Delivery;

pub(super) const TICK: Duration = Duration::from_millis(20);
const PEER_INTERVAL: Duration = Duration::from_millis(100);
/// A commit whose wait for confirmation has ended, with the outcome.
pub(super) struct EndedCommit {
    pub(super) id: u64,
    pub(super) position: LogPosition,
    pub(super) since: Instant,
    pub(super) at: Instant,
    pub(super) outcome: ConfirmOutcome,
}

pub(super) struct World {
    pub(super) now: Instant,
    pub(super) hosts: Vec<HostState>,
    pub(super) members: Vec<ModelMember>,
    pub(super) random: SmallRng,
    /// Share of messages between hosts and members that are lost, in percent.
    pub(super) loss: u32,
    /// Pairs of host and member that cannot reach each other.
    pub(super) cut: BTreeSet<(usize, usize)>,
    /// Hosts that do not run.
    pub(super) paused: BTreeSet<usize>,
    /// Members that do not answer.
    pub(super) frozen: BTreeSet<usize>,
    /// Pairs of members of which the first cannot replicate from the second.
    pub(super) split: BTreeSet<(usize, usize)>,
    pub(super) is_replicating: bool,
    pub(super) commits: Vec<EndedCommit>,
    pub(super) promotions: Vec<(Instant, u64, usize)>,
    pub(super) leaving: BTreeSet<usize>,
    pub(super) group_name: GroupName,
    /// When each host starts. Random, so that the probes of the hosts are not synchronised.
    starts: Vec<Instant>,
    queue: BTreeMap<(Instant, u64), Delivery>,
    held: Vec<Vec<Delivery>>,
    sequence: u64,
    open: BTreeMap<(usize, u64), (u64, LogPosition, Instant)>,
    peers: Vec<BTreeMap<usize, (Instant, Vec<GroupSuspicion>)>>,
    peers_at: Instant,
    pub(super) writes: u64,
    version: u64,
}

fn domain(index: usize) -> DomainName {
    DomainName::new(&format!("d{}", index % 3)).unwrap()
}

fn host_name(index: usize) -> HostName {
    HostName::new(&format!("h{index}")).unwrap()
}

/// The state that a host sends to other hosts, without its suspicions.
fn peer_state(host: usize, version: u64) -> PeerState {
    PeerState {
        host: host_name(host),
        domain: domain(host),
        incarnation: 1,
        version,
        unchanged: 0,
        age_ms: 0,
        peer_address: String::new(),
        leaving: false,
        store_reached_ms: None,
        store_failing: false,
        view_epoch: 0,
        fleet_epoch: 0,
        suspicions: Vec::new(),
    }
}

impl World {
    pub(super) fn new(hosts: usize, seed: u64) -> Self {
        let now = Instant::now();
        let members: Vec<_> = (0..3).map(ModelMember::new).collect();
        let mut world = Self {
            now,
            hosts: Vec::new(),
            members,
            random: SmallRng::seed_from_u64(seed),
            loss: 0,
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            frozen: BTreeSet::new(),
            split: BTreeSet::new(),
            is_replicating: true,
            commits: Vec::new(),
            promotions: Vec::new(),
            leaving: BTreeSet::new(),
            group_name: GroupName::new("g").unwrap(),
            starts: Vec::new(),
            queue: BTreeMap::new(),
            held: (0..hosts).map(|_| Vec::new()).collect(),
            sequence: 0,
            open: BTreeMap::new(),
            peers: vec![BTreeMap::new(); hosts],
            peers_at: now,
            writes: 0,
            version: 0,
        };
        world.hosts = (0..hosts).map(|index| world.new_host(index)).collect();
        for _ in 0..hosts {
            let offset = world.random.random_range(0..250);
            world.starts.push(now + Duration::from_millis(offset));
        }
        world
    }

    fn new_host(&self, index: usize) -> HostState {
        let identity = HostIdentity {
            host: host_name(index),
            domain: domain(index),
            incarnation: 1,
            peer_address: String::new(),
            admin_address: String::new(),
        };
        let mut state = HostState::new(HostProfile {
            identity,
            timing: HostTiming::default(),
            policies: HostPolicies::default(),
            fleet_secret: Vec::new(),
            seed: index as u64,
        });
        let member = |(index, member): (usize, &ModelMember)| MemberRecord {
            endpoint: member.name.clone(),
            domain: domain(index),
            sql_address: format!("sql{index}"),
            api_address: format!("api{index}"),
            connections: 20,
            slots: 3,
        };
        let members = self.members.iter().enumerate().map(member).collect();
        let group = GroupRecord { group: self.group_name.clone(), members };
        let service = (ServiceName::new("s").unwrap(), ServiceRecord { groups: vec![group] });
        state.endpoints.adopt_settings(RouteSettings::new(&state.profile));
        state.endpoints.adopt_services([(&service.0, &service.1)].into_iter());
        state
    }

    pub(super) fn key(&self, host: usize, member: usize) -> EndpointKey {
        self.hosts[host].endpoints.member_named(&self.members[member].name).unwrap()
    }

    pub(super) fn group(&self, host: usize) -> GroupKey {
        self.hosts[host].endpoints.group(&self.group_name).unwrap()
    }

    fn index(&self, host: usize, key: EndpointKey) -> usize {
        let name = &self.hosts[host].endpoints.address(key).unwrap().name;
        self.members.iter().position(|member| member.name == *name).unwrap()
    }

    /// Marks a member as leaving at all hosts.
    pub(super) fn set_leaving(&mut self, member: usize) {
        self.leaving.insert(member);
        let name = self.members[member].name.clone();
        for host in &mut self.hosts {
            let phase = |endpoint: &_| match *endpoint == name {
                true => EndpointPhase::Leaving,
                false => EndpointPhase::Serving,
            };
            host.endpoints.adopt_phases(self.now, |_| DomainPhase::In, phase);
        }
    }

    fn exchange_peer_states(&mut self) {
        self.peers_at = self.now + PEER_INTERVAL;
        let running: Vec<_> = (0..self.hosts.len()).filter(|h| !self.paused.contains(h)).collect();
        let states: Vec<(usize, Vec<GroupSuspicion>, Vec<GroupAnnouncement>)> = running
            .iter()
            .map(|host| {
                let state = &self.hosts[*host];
                (*host, suspicions(state, self.now), announcements(state))
            })
            .collect();
        for receiver in running {
            for (sender, suspicions, groups) in &states {
                if *sender != receiver {
                    self.peers[receiver].insert(*sender, (self.now, suspicions.clone()));
                    self.version += 1;
                    let state = peer_state(*sender, self.version);
                    self.hosts[receiver].hosts.adopt_state(self.now, self.now, state, None);
                    super::super::adopt_announcements(&mut self.hosts[receiver], self.now, groups);
                }
            }
        }
    }

    fn replicate(&mut self) {
        for index in 0..self.members.len() {
            let Some(name) = self.members[index].follows.clone() else { continue };
            let source = self.members.iter().position(|member| member.name == name).unwrap();
            let is_cut = self.frozen.contains(&index)
                || self.frozen.contains(&source)
                || self.split.contains(&(index, source));
            if !is_cut && self.is_replicating && source != index {
                let [replica, source] = self.members.get_disjoint_mut([index, source]).unwrap();
                replica.replicate(source, 5);
            }
        }
    }

    /// Advances time by one tick: delivers due messages, replicates, and runs all running hosts.
    pub(super) fn tick(&mut self) {
        let until = self.now + TICK;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), delivery) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(delivery);
        }
        self.now = until;
        self.replicate();
        if self.now >= self.peers_at {
            self.exchange_peer_states();
        }
        for host in 0..self.hosts.len() {
            if !self.paused.contains(&host) && self.now >= self.starts[host] {
                std::mem::take(&mut self.held[host]).into_iter().for_each(|d| self.deliver(d));
                self.run_host(host);
            }
        }
    }

    fn run_host(&mut self, host: usize) {
        let heard: Vec<_> = self.peers[host]
            .iter()
            .filter(|(_, (at, _))| self.now.saturating_duration_since(*at).as_millis() < 3_500)
            .map(|(peer, (_, list))| ((host_name(*peer), domain(*peer)), list.clone()))
            .collect();
        let view = |_: &HostState, group: &GroupName, term: u64| {
            let suspects = heard.iter().filter(|(_, list)| {
                list.iter().any(|suspicion| suspicion.group == *group && suspicion.term == term)
            });
            PeerView {
                hosts: heard.iter().map(|(peer, _)| peer.clone()).collect(),
                suspects: suspects.map(|(peer, _)| peer.clone()).collect(),
            }
        };
        let mut outputs = Vec::new();
        run_with(&mut self.hosts[host], self.now, view, &mut outputs);
        self.execute(host, outputs);
    }

    pub(super) fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.tick();
        }
    }

    /// Runs until a condition holds and returns the time that it took, or `None` at the limit.
    pub(super) fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            self.tick();
            if condition(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    /// The member to which a host would route a write.
    pub(super) fn primary(&self, host: usize) -> Option<usize> {
        match self.choose(host, true, LogPosition::default()) {
            RouteChoice::Endpoint { endpoint, .. } => Some(self.index(host, endpoint)),
            _ => None,
        }
    }

    /// The primary that a host knows from probes or announcements, whether or not it probes now.
    pub(super) fn known_primary(&self, host: usize) -> Option<usize> {
        let group = &self.hosts[host].endpoints.groups[self.group(host)];
        group.primary.map(|primary| self.index(host, primary))
    }

    /// Checks the safety properties that must hold under any schedule.
    pub(super) fn check_safety(&self) {
        let terms: BTreeSet<_> = self.promotions.iter().map(|(_, term, _)| term).collect();
        assert_eq!(terms.len(), self.promotions.len(), "two primaries in one term");
        let last = self.promotions.last().map_or(0, |(.., member)| *member);
        for commit in &self.commits {
            let ConfirmOutcome::Confirmed { replicated, .. } = commit.outcome else { continue };
            let until = match replicated {
                true => commit.since,
                false => commit.since + Duration::from_millis(400),
            };
            let replaced =
                |(at, term, _): &(Instant, u64, usize)| *term > commit.position.term && *at < until;
            assert!(
                !self.promotions.iter().any(replaced),
                "commit {} was acknowledged {:?} after the write by a replaced primary",
                commit.id,
                commit.at - commit.since,
            );
            assert!(
                !replicated || self.members[last].contains(commit.id),
                "replicated commit {} was lost",
                commit.id
            );
        }
    }

    pub(super) fn acknowledged(&self) -> usize {
        let is_confirmed = |c: &&EndedCommit| matches!(c.outcome, ConfirmOutcome::Confirmed { .. });
        self.commits.iter().filter(is_confirmed).count()
    }
}

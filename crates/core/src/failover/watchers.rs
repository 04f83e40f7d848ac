//! Which hosts watch a group.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use tanagerdeal_wire::{DomainName, GroupName, HostName};

use super::PeerView;
use crate::membership::host_rank;
use crate::message::GroupKey;

/// Hosts that watch a group. With two of them lost, the others still cover two failure domains.
pub(crate) const WATCHERS: usize = 5;

/// Hosts up to which every host watches every group.
const SMALL_FLEET: usize = 15;

/// Interval between comparisons of the live hosts.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Watchers by group.
#[derive(Default)]
pub(crate) struct WatchPlan {
    due: Option<Instant>,
    /// Live hosts, this one included, for which the watchers were chosen.
    hosts: Vec<(HostName, DomainName)>,
    revision: u64,
    /// Empty while every host watches every group.
    watchers: SecondaryMap<GroupKey, BTreeSet<HostName>>,
}

impl WatchPlan {
    /// Whether the plan is to be compared with the live hosts; notes that it is.
    pub(crate) fn take_due(&mut self, now: Instant) -> bool {
        let is_due = self.due.is_none_or(|due| now >= due);
        if is_due {
            self.due = Some(now + PLAN_INTERVAL);
        }
        is_due
    }

    /// Whether the watchers have to be chosen again. Ranking all hosts for every group costs tens of
    /// milliseconds in a large fleet, so that it is done only after a change.
    pub(crate) fn is_outdated(&self, hosts: &[(HostName, DomainName)], revision: u64) -> bool {
        self.hosts != hosts || self.revision != revision
    }

    /// Chooses the watchers of all groups, given with the failure domains of their members.
    pub(crate) fn choose<'a>(
        &mut self,
        hosts: Vec<(HostName, DomainName)>,
        revision: u64,
        groups: impl Iterator<Item = (GroupKey, &'a GroupName, BTreeSet<&'a DomainName>)>,
    ) {
        (self.hosts, self.revision) = (hosts, revision);
        self.watchers.clear();
        if self.hosts.len() > SMALL_FLEET {
            for (key, name, domains) in groups {
                self.watchers.insert(key, choose_watchers(name, &self.hosts, &domains));
            }
        }
    }

    /// Whether a host watches a group.
    pub(crate) fn is_watcher(&self, group: GroupKey, host: &HostName) -> bool {
        self.watchers.get(group).is_none_or(|watchers| watchers.contains(host))
    }

    /// The part of a view that counts for a group: its watchers.
    pub(crate) fn restrict(&self, group: GroupKey, view: PeerView) -> PeerView {
        let own = |(host, _): &(HostName, DomainName)| self.is_watcher(group, host);
        PeerView {
            hosts: view.hosts.into_iter().filter(own).collect(),
            suspects: view.suspects.into_iter().filter(own).collect(),
        }
    }
}

/// The watchers of a group: live hosts with the lowest rendezvous ranks, taken from the failure
/// domains of its members in turn, because these have to agree on a suspicion. Hosts elsewhere are
/// taken when there are too few.
pub(crate) fn choose_watchers(
    group: &GroupName,
    hosts: &[(HostName, DomainName)],
    domains: &BTreeSet<&DomainName>,
) -> BTreeSet<HostName> {
    let near = hosts.iter().filter(|(_, domain)| domains.contains(domain));
    let mut order = in_turn(group, near);
    if order.len() < WATCHERS {
        let far = hosts.iter().filter(|(_, domain)| !domains.contains(domain));
        order.extend(in_turn(group, far));
    }
    order.into_iter().take(WATCHERS).cloned().collect()
}

fn in_turn<'a>(
    group: &GroupName,
    hosts: impl Iterator<Item = &'a (HostName, DomainName)>,
) -> Vec<&'a HostName> {
    let mut ranked: Vec<_> = hosts
        .map(|(host, domain)| (host_rank(group.as_str(), host.as_str()), host, domain))
        .collect();
    ranked.sort_unstable();
    let mut turns: BTreeMap<&DomainName, usize> = BTreeMap::new();
    let mut order: Vec<_> = ranked
        .into_iter()
        .map(|(rank, host, domain)| {
            let turn = turns.entry(domain).or_default();
            *turn += 1;
            (*turn, rank, host)
        })
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(.., host)| host).collect()
}

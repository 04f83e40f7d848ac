//! Assignment of watchers: the hosts that probe a group and decide on its failover.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use tanagerdeal_wire::{DomainName, GroupName, HostName};

use super::PeerView;
use crate::membership::host_rank;
use crate::message::GroupKey;

/// Number of hosts that watch a group. If two of them fail, the others still cover two failure
/// domains.
pub(crate) const WATCHERS: usize = 5;

/// Fleet size up to which every host watches every group.
const SMALL_FLEET: usize = 15;

/// Interval at which the assignment is compared with the live hosts.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// The watchers of each group.
#[derive(Default)]
pub(crate) struct WatchPlan {
    due: Option<Instant>,
    /// Live hosts, including this one, among which the watchers were chosen.
    hosts: Vec<(HostName, DomainName)>,
    revision: u64,
    /// Empty while every host watches every group.
    watchers: SecondaryMap<GroupKey, BTreeSet<HostName>>,
}

impl WatchPlan {
    /// Whether the assignment is due for a comparison with the live hosts. If so, the next one is
    /// scheduled.
    pub(crate) fn take_due(&mut self, now: Instant) -> bool {
        let is_due = self.due.is_none_or(|due| now >= due);
        if is_due {
            self.due = Some(now + PLAN_INTERVAL);
        }
        is_due
    }

    /// Whether the live hosts or the catalog revision have changed since the watchers were chosen.
    /// Ranking all hosts for every group takes tens of milliseconds in a large fleet, so it is done
    /// only after a change.
    pub(crate) fn is_outdated(&self, hosts: &[(HostName, DomainName)], revision: u64) -> bool {
        self.hosts != hosts || self.revision != revision
    }

    /// Chooses the watchers of all groups, each given with the failure domains of its members.
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

    /// Restricts a view to the group's watchers, whose suspicions alone count.
    pub(crate) fn restrict(&self, group: GroupKey, view: PeerView) -> PeerView {
        let is_watching = |(host, _): &(HostName, DomainName)| self.is_watcher(group, host);
        PeerView {
            hosts: view.hosts.into_iter().filter(is_watching).collect(),
            suspects: view.suspects.into_iter().filter(is_watching).collect(),
        }
    }
}

/// Chooses the watchers of a group: the live hosts with the lowest rendezvous hashes, taken in turn
/// from the failure domains of the group's members, because these have to agree on a suspicion. If
/// they have too few hosts, hosts in other failure domains are added.
pub(crate) fn choose_watchers(
    group: &GroupName,
    hosts: &[(HostName, DomainName)],
    domains: &BTreeSet<&DomainName>,
) -> BTreeSet<HostName> {
    let inside = hosts.iter().filter(|(_, domain)| domains.contains(domain));
    let mut order = interleave_domains(group, inside);
    if order.len() < WATCHERS {
        let outside = hosts.iter().filter(|(_, domain)| !domains.contains(domain));
        order.extend(interleave_domains(group, outside));
    }
    order.into_iter().take(WATCHERS).cloned().collect()
}

fn interleave_domains<'a>(
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

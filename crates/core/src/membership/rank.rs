//! Rendezvous ranking of hosts, choice of relays, and the tree along which catalogs are pulled.

use std::cmp::Reverse;
use std::time::Instant;

use tanagerdeal_wire::{DomainName, HostName, value_type};

use super::HostTable;
use crate::hash::hash_bytes;

/// Number of relays per failure domain. Relays pull from the relays of other failure domains.
pub const RELAYS: usize = 2;

/// Maximum number of children of a host in the pull tree, not counting the other relay.
const FAN_OUT: usize = 8;

/// Maximum number of silent hosts of a failure domain to pull from while none of it is live.
const MAX_SILENT_TARGETS: usize = 8;

value_type! {
    /// Hosts that this host pulls from.
    #[derive(Default)]
    pub struct PullPlan {
        /// Whether this host is one of its failure domain's relays.
        pub is_relay: bool,
        /// This host's rank among the live hosts of its failure domain.
        pub rank: usize,
        /// Hosts of this host's failure domain to pull from, in order of preference.
        pub parents: Vec<HostName>,
        /// Relays of each other failure domain; empty unless this host is a relay.
        pub foreign: Vec<Vec<HostName>>,
    }
}

/// Rank of a host within a scope, by rendezvous hashing (Thaler and Ravishankar, 1998). The hosts
/// with the lowest values are chosen.
///
/// ```
/// use tanagerdeal_core::membership::host_rank;
///
/// assert_eq!(host_rank("akl-a", "h1"), host_rank("akl-a", "h1"));
/// assert_ne!(host_rank("akl-a", "h1"), host_rank("akl-b", "h1"));
/// ```
pub fn host_rank(scope: &str, host: &str) -> u64 {
    hash_bytes(scope.bytes().chain([0]).chain(host.bytes()))
}

impl HostTable {
    /// Live hosts of a failure domain, sorted by rank. `own` is the name and the failure domain of
    /// this host, which counts as live.
    pub(crate) fn ranked(
        &self,
        now: Instant,
        domain: &DomainName,
        own: (&HostName, &DomainName),
    ) -> Vec<HostName> {
        let others = self.others(now).filter(|(_, host)| host.domain == *domain);
        let mut names: Vec<_> = others.map(|(name, _)| name.clone()).collect();
        if own.1 == domain {
            names.push(own.0.clone());
        }
        names.sort_by_cached_key(|name| host_rank(domain.as_str(), name.as_str()));
        names
    }

    /// Computes the pull plan from the hosts that are live now.
    pub(crate) fn plan(&self, now: Instant, own: (&HostName, &DomainName)) -> PullPlan {
        let ranked = self.ranked(now, own.1, own);
        let rank = ranked.iter().position(|name| name == own.0).unwrap_or(0);
        let is_relay = rank < RELAYS;
        let parents = match ranked.len() {
            0 | 1 => self.silent_hosts(own.1, own.0),
            _ => parents(&ranked, rank),
        };
        let foreign = if is_relay { self.foreign_relays(now, own) } else { Vec::new() };
        PullPlan { is_relay, rank, parents, foreign }
    }

    /// Hosts to pull from in a failure domain without live hosts, the most recently listed ones
    /// first. After a partition each side counts the other as silent, so one of them has to pull
    /// from a silent host to restore contact.
    fn silent_hosts(&self, domain: &DomainName, own: &HostName) -> Vec<HostName> {
        let hosts = self
            .hosts()
            .filter(|(name, host)| host.domain == *domain && !host.leaving && *name != own);
        let mut hosts: Vec<_> = hosts.collect();
        hosts.sort_by_key(|(name, host)| {
            (Reverse(host.listed_at), host_rank(domain.as_str(), name.as_str()))
        });
        hosts.into_iter().take(MAX_SILENT_TARGETS).map(|(name, _)| name.clone()).collect()
    }

    fn foreign_relays(&self, now: Instant, own: (&HostName, &DomainName)) -> Vec<Vec<HostName>> {
        let domains = self.domains().into_iter().filter(|domain| *domain != own.1);
        let relays = domains.map(|domain| {
            let mut ranked = self.ranked(now, domain, own);
            ranked.truncate(RELAYS);
            if ranked.is_empty() { self.silent_hosts(domain, own.0) } else { ranked }
        });
        relays.filter(|relays| !relays.is_empty()).collect()
    }
}

/// Parents of a rank in order of preference. The relays (ranks 0 and 1) pull from each other; ranks
/// 2 to 9 pull from rank 0, ranks 10 to 17 from rank 1, and so on. An alternate parent and a relay
/// follow as fallbacks.
fn parents(ranked: &[HostName], rank: usize) -> Vec<HostName> {
    let positions = match rank {
        0 => vec![1],
        1 => vec![0],
        _ => {
            let parent = (rank - RELAYS) / FAN_OUT;
            let alternate = if parent < RELAYS { 1 - parent } else { parent ^ 1 };
            vec![parent, alternate, parent % RELAYS]
        }
    };
    let mut names: Vec<HostName> = Vec::new();
    for position in
        positions.into_iter().filter(|position| *position < ranked.len() && *position != rank)
    {
        if !names.contains(&ranked[position]) {
            names.push(ranked[position].clone());
        }
    }
    names
}

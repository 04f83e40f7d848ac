//! Rendezvous ranks, relays and the tree along which catalogs are pulled.

use std::cmp::Reverse;
use std::time::Instant;

use tanagerdeal_wire::{DomainName, HostName, value_type};

use super::HostTable;
use crate::hash::hash_bytes;

/// Relays per failure domain.
pub const RELAYS: usize = 2;

/// Children of a host in the tree below the relays.
const FAN_OUT: usize = 8;

/// Silent hosts of a failure domain that are asked while none of it is heard.
const SILENT_ASKED: usize = 8;

value_type! {
    /// Whom this host pulls from.
    #[derive(Default)]
    pub struct PullPlan {
        /// Whether this host is one of its failure domain's relays.
        pub is_relay: bool,
        /// Own rank among the live hosts of the failure domain.
        pub rank: usize,
        /// Hosts of the own failure domain to pull from, the preferred one first.
        pub parents: Vec<HostName>,
        /// Relays of every other failure domain; empty for a host that is no relay.
        pub foreign: Vec<Vec<HostName>>,
    }
}

/// Rank of a host within a scope; hosts with the lowest numbers are chosen.
///
/// Rendezvous hashing (Thaler and Ravishankar, 1998).
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
    /// Live hosts of a failure domain in the order of their ranks; `own` is the name and the failure
    /// domain of this host, which counts as live.
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

    /// Whom this host pulls from now.
    pub(crate) fn plan(&self, now: Instant, own: (&HostName, &DomainName)) -> PullPlan {
        let ranked = self.ranked(now, own.1, own);
        let rank = ranked.iter().position(|name| name == own.0).unwrap_or(0);
        let is_relay = rank < RELAYS;
        let parents = match ranked.len() {
            0 | 1 => self.silent(own.1, own.0),
            _ => parents(&ranked, rank),
        };
        let foreign = if is_relay { self.foreign(now, own) } else { Vec::new() };
        PullPlan { is_relay, rank, parents, foreign }
    }

    /// Hosts of a failure domain of which none is heard, those listed last first. After a partition
    /// both sides count the other as silent, so one must ask to be heard again.
    fn silent(&self, domain: &DomainName, own: &HostName) -> Vec<HostName> {
        let hosts = self
            .hosts()
            .filter(|(name, host)| host.domain == *domain && !host.leaving && *name != own);
        let mut hosts: Vec<_> = hosts.collect();
        hosts.sort_by_key(|(name, host)| {
            (Reverse(host.listed_at), host_rank(domain.as_str(), name.as_str()))
        });
        hosts.into_iter().take(SILENT_ASKED).map(|(name, _)| name.clone()).collect()
    }

    fn foreign(&self, now: Instant, own: (&HostName, &DomainName)) -> Vec<Vec<HostName>> {
        let domains = self.domains().into_iter().filter(|domain| *domain != own.1);
        let relays = domains.map(|domain| {
            let mut ranked = self.ranked(now, domain, own);
            ranked.truncate(RELAYS);
            if ranked.is_empty() { self.silent(domain, own.0) } else { ranked }
        });
        relays.filter(|relays| !relays.is_empty()).collect()
    }
}

/// Parent and alternate parent of a rank. The relays pull from each other; below them, ranks 2 to 9
/// pull from rank 0, 10 to 17 from rank 1, and so on.
fn parents(ranked: &[HostName], rank: usize) -> Vec<HostName> {
    let places = match rank {
        0 => vec![1],
        1 => vec![0],
        _ => {
            let parent = (rank - RELAYS) / FAN_OUT;
            let alternate = if parent < RELAYS { 1 - parent } else { parent ^ 1 };
            vec![parent, alternate, parent % RELAYS]
        }
    };
    let mut names: Vec<HostName> = Vec::new();
    for place in places.into_iter().filter(|place| *place < ranked.len() && *place != rank) {
        if !names.contains(&ranked[place]) {
            names.push(ranked[place].clone());
        }
    }
    names
}

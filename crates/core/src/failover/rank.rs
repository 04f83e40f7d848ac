//! Rank of hosts, which determines the order in which they act on a group.

use tanagerdeal_wire::{GroupName, HostName};

use crate::membership::host_rank;

/// Rank of a host for a group: the number of other hosts with a lower rendezvous hash.
pub(crate) fn rank_among<'a>(
    group: &GroupName,
    host: &HostName,
    others: impl Iterator<Item = &'a HostName>,
) -> u32 {
    let hash = |host: &HostName| host_rank(group.as_str(), host.as_str());
    let own = (hash(host), host);
    let before = others.filter(|other| *other != host && (hash(other), *other) < own);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

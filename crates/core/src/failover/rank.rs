//! Order in which hosts act on a group.

use tanagerdeal_wire::{GroupName, HostName};

/// Offset basis and prime of the 64-bit FNV-1a hash (draft-eastlake-fnv, section 5). It must give
/// the same value in every build, because hosts of different versions compare their ranks.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Rank of a host among others for a group: the number of hosts with a lower rendezvous hash.
pub(crate) fn rank_among<'a>(
    group: &GroupName,
    host: &HostName,
    others: impl Iterator<Item = &'a HostName>,
) -> u32 {
    let own = (hash(group, host), host);
    let before = others.filter(|other| *other != host && (hash(group, other), *other) < own);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

fn hash(group: &GroupName, host: &HostName) -> u64 {
    let bytes = group.as_str().bytes().chain([0]).chain(host.as_str().bytes());
    let hash = bytes.fold(FNV_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    // FNV-1a alone orders names that differ in their last byte by that byte, for every group.
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}

//! Placement of a session on one group of a service.

/// Offset basis and prime of 64-bit FNV-1a (Fowler, Noll and Vo, draft-eastlake-fnv).
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A hash that is the same on every host and in every version.
///
/// FNV-1a with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014), which spreads the hashes
/// of short texts that differ in the last byte only.
pub(crate) fn stable_hash(parts: &[&str]) -> u64 {
    let mut hash = FNV_BASIS;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Index of the group of a shard key, by rendezvous hashing over the groups' names, so that a group
/// that is added takes sessions evenly from the others.
pub(crate) fn place_shard<'a>(
    shard_key: &str,
    groups: impl Iterator<Item = &'a str>,
) -> Option<usize> {
    let hashes = groups.enumerate().map(|(index, group)| (stable_hash(&[group, shard_key]), index));
    hashes.max().map(|(_, index)| index)
}

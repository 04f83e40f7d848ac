//! Placement of a session on one group of a service.

use crate::hash::hash_bytes;

/// Hash of several texts that is the same on every host and in every version.
pub(crate) fn stable_hash(parts: &[&str]) -> u64 {
    hash_bytes(parts.iter().flat_map(|part| part.bytes().chain([0xff])))
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

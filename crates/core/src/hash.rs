//! A hash that is the same on every host and in every version.

/// Offset basis and prime of 64-bit FNV-1a (Fowler, Noll and Vo, draft-eastlake-fnv).
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014), which spreads the hashes
/// of short texts that differ in the last byte only.
///
/// ```
/// use tanagerdeal_core::hash::hash_bytes;
///
/// assert_ne!(hash_bytes("e1".bytes()), hash_bytes("e2".bytes()));
/// ```
pub fn hash_bytes(bytes: impl Iterator<Item = u8>) -> u64 {
    let hash = bytes.fold(FNV_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

//! Versions of rows across restorations of the store from a copy.
//!
//! A restored store gives out version numbers again, and its era rises by one. A version therefore
//! consists of the era and the number, in an order that puts any row of a later era behind all rows
//! of an earlier one. Versions of the first era are the plain numbers.

/// Bits of a version that hold the number; a store would count for centuries to need more.
const NUMBER_BITS: u32 = 44;
/// Largest number of a version.
pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// The era of a store that was never restored.
pub const FIRST_ERA: u64 = 1;

/// The version of a row that has the number `number` in an era. The number 0 stands for a row that
/// does not exist, in any era.
///
/// ```
/// use tanagerdeal_core::ledger::version::{era_of, number_of, version_in};
///
/// assert_eq!(version_in(1, 7), 7);
/// assert!(version_in(2, 3) > version_in(1, 900));
/// assert_eq!((era_of(version_in(2, 3)), number_of(version_in(2, 3))), (2, 3));
/// assert_eq!(version_in(2, 0), 0);
/// ```
pub fn version_in(era: u64, number: u64) -> u64 {
    match number {
        0 => 0,
        number => (era.saturating_sub(FIRST_ERA) << NUMBER_BITS) | number.min(MAX_NUMBER),
    }
}

/// The era of a version.
pub fn era_of(version: u64) -> u64 {
    (version >> NUMBER_BITS) + FIRST_ERA
}

/// The store's own number of a version.
pub fn number_of(version: u64) -> u64 {
    version & MAX_NUMBER
}

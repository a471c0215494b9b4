//! Versions of the rows of the platform's store, ordered across the store's eras.
//!
//! The store's counter goes back when the store comes back from an older copy, and the same numbers
//! are given out again. The era, which rises each time, makes them comparable: it is kept in the
//! upper bits of a version, so that any version of a later era is greater.

/// Bits of a version that hold the store's own number; the era is above them.
const NUMBER_BITS: u32 = 40;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// Era in which a version was read from the store; 0 if the store states none.
pub fn era(version: u64) -> u64 {
    version >> NUMBER_BITS
}

/// The number that the store itself uses for a version.
pub fn number(version: u64) -> u64 {
    version & NUMBER_MASK
}

/// The version with this number, as read in this era; `None` if one of them is out of range.
pub fn in_era(era: u64, number: u64) -> Option<u64> {
    let is_valid = number <= NUMBER_MASK && era <= u64::MAX >> NUMBER_BITS;
    is_valid.then_some((era << NUMBER_BITS) | number)
}

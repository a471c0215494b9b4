//! Resource budget for callers: how much memory and how many file descriptors their sessions may
//! use together, and which sessions are refused or closed when that is not enough.
//!
//! **Architecture invariant:** this crate performs no I/O and reads no clock. It decides; the
//! daemons read, wait and close.

mod budget;
mod eviction;
mod holder;
mod limits;
mod reason;
mod slots;

pub use crate::{
    budget::Budget,
    eviction::Eviction,
    holder::HolderId,
    limits::{Limits, MAX_STORED_BYTES, SMALL_BYTES},
    reason::Reason,
};

#[cfg(test)]
mod tests;

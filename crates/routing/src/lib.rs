//! Chooses the member that serves a request, by position, health, load and
//! availability zone.
//!
//! **Architecture invariant:** this crate knows no queues and no sockets. Slots and
//! connections are only counted.

mod choice;
mod health;
mod member;
mod members;

pub use crate::{
    choice::{Choice, Reason},
    health::Health,
    member::{Capacity, Member},
    members::Members,
};

#[cfg(test)]
mod tests;

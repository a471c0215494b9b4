//! Election of a group's primary: a state machine without I/O that any daemon can
//! continue from any step. Sockets and the platform's protocol are the caller's concern.
//!
//! Each attempt uses a term of its own, which is recorded at the platform before
//! anything else happens, so that two daemons never act under the same term. The terms
//! that the members have accepted decide which primary is valid; the platform's record
//! only stores the outcome.

mod action;
mod election;
mod event;
mod phase;
mod record;

pub use crate::{
    action::Action,
    election::{Election, ElectionConfig},
    event::{Event, FenceReply},
    record::LeadershipRecord,
};

#[cfg(test)]
mod tests;

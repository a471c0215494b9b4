//! Election of primary: a state machine that any daemon can carry on from any
//! step. Knows nothing of sockets or of the platform's protocol.
//!
//! Each attempt works under a term of its own, recorded before anything else
//! happens, so that two daemons never act under the same term. The members'
//! own terms decide what counts; the record only remembers it.

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

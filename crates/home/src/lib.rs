//! The home of a group: queues requests, counts slots and connections, proves
//! that the primary has not been replaced, and knows the callers' write
//! positions. A pure state machine: events and the time go in, actions come out.

mod acks;
mod action;
mod config;
mod event;
mod home;
mod memory;
mod probes;
mod refusal;
mod requests;
mod status;
mod submission;

pub use crate::{
    action::{Action, ConnectionSource, Dispatch},
    config::{HomeConfig, MemberConfig},
    event::{ConnectionState, Event, Finished, ProbeReply, RunResult},
    home::Home,
    refusal::Refusal,
    status::MemberStatus,
    submission::{Commit, PinnedStatement, Submission},
};

#[cfg(test)]
mod tests;

//! Decision logic of a group's home, the one daemon that serves the group at a time. The
//! home queues requests, counts slots and connections, confirms by probes that the primary
//! has not been replaced, and keeps the position of each caller's last write.
//!
//! **Architecture invariant:** this crate is a pure state machine without I/O or a clock.
//! [`Home::handle`] takes an event and the time, and returns the actions to carry out.

mod pending_commits;
mod action;
mod config;
mod event;
mod home;
mod coverage;
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

//! Stand-ins for the users' platform: its store with the failover call, and members
//! that speak the line protocol.
//!
//! They guarantee what the platform's documentation promises and no more: a replaced
//! primary accepts writes until it learns of its successor, and replicas lag.

mod activity;
mod commit;
mod config;
mod control;
mod group;
mod organisation;
mod platform;
mod session;

pub use self::{
    activity::{Connections, RunStatement},
    commit::Commit,
    control::TestCmd,
    group::{Group, Refusal},
    organisation::Organisation,
    platform::{Options, Platform},
};

#[cfg(test)]
mod tests;

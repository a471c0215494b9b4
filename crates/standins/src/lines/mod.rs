//! Stand-ins for the users' platform: its store with the failover call, and members
//! that speak the line protocol.
//!
//! They guarantee what the platform's documentation promises and no more: a replaced
//! primary accepts writes until it learns of its successor, and replicas lag.

mod commit;
mod control;
mod group;
mod platform;
mod session;

pub use self::{
    commit::Commit,
    control::TestCmd,
    group::{Group, Refusal},
    platform::{Options, Platform},
};

#[cfg(test)]
mod tests;

//! Stand-ins for the users' platform: its store with the failover call, and members
//! that speak the line protocol. They keep what the platform's pages promise and no
//! more, so an old primary goes on until it is told, and replicas lag.

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

//! One daemon's connections to the members of a group, and which waiting request
//! gets the next one. Every daemon has pools of its own beside those of the
//! others; nothing is agreed between them but each one's share of connections.
//!
//! **Architecture invariant:** no sockets, clocks or wire formats; connections are
//! mere numbers here.

mod action;
mod member;
mod need;
mod pool;
mod shares;
mod spec;

pub use crate::{
    action::Action,
    need::Need,
    pool::{Pool, Request},
    shares::Shares,
    spec::MemberSpec,
};

#[cfg(test)]
mod tests;

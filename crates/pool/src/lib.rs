//! One daemon's connections to the members of a group, and which waiting request
//! gets the next one. Every daemon has pools of its own beside those of the
//! others; nothing is agreed between them but each one's share of connections.
//!
//! **Architecture invariant:** no sockets, clocks or wire formats; connections are
//! mere numbers here.

mod action;
mod member;
mod requirement;
mod pool;
mod shares;
mod spec;

pub use crate::{
    action::Action,
    pool::{Pool, Request},
    requirement::Requirement,
    shares::Shares,
    spec::MemberSpec,
};

#[cfg(test)]
mod tests;

//! Connection pool of one daemon for the members of one group. It decides which
//! waiting request gets the next free connection, and when connections are opened
//! and closed. The pools of different daemons are independent of each other, except
//! that each is limited to its daemon's share of a member's connections.
//!
//! A connection belongs to one organisation for its lifetime. Deployments without organisations
//! have one, [`base::OrganisationId::SHARED`], for all callers.
//!
//! **Architecture invariant:** this crate knows no sockets, clocks or wire formats.
//! Connections are represented by numbers, and the time is passed in.

mod action;
mod connection;
mod full_backoff;
mod member;
mod requirement;
mod pool;
mod shares;
mod spec;
mod usage;

pub use crate::{
    action::Action,
    pool::{Pool, Request},
    requirement::Requirement,
    shares::Shares,
    spec::MemberSpec,
};

#[cfg(test)]
mod tests;

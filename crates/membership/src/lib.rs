//! Tracks which daemons are alive and decides which of them is the home of each
//! group: the one daemon that schedules the group's requests and records its
//! callers' write positions.
//!
//! **Architecture invariant:** this crate does no I/O and does not see requests.
//! The platform's answers and the other daemons' heartbeats are passed in as events.

mod claim;
mod home_action;
mod homes;
mod place;
mod rendezvous;
mod takeover;
mod vm;
mod vms;

pub use crate::{
    claim::Claim,
    home_action::HomeAction,
    homes::{Homes, HomesConfig},
    place::Place,
    rendezvous::preference_order,
    takeover::Takeover,
    vm::{Incarnation, Vm},
    vms::Vms,
};

#[cfg(test)]
mod tests;

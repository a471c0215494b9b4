//! Which daemons are alive, and which of them is the home of a group. Knows
//! nothing of requests; the platform's answers and heartbeats come as events.

mod claim;
mod home_action;
mod homes;
mod takeover;
mod place;
mod rendezvous;
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

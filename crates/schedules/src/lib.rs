//! Randomized tests of the home and the election under injected faults, in virtual time.
//! Fakes replace the members and the platform's store, and an oracle checks the invariants
//! that must hold under every schedule.

mod daemon;
mod expiring_lock;
mod fault;
mod member;
mod mutation;
mod oracle;
mod simulation;
mod store;

pub use crate::{
    expiring_lock::{ExecutionCounts, simulate_expiring_lock},
    fault::{Fault, FaultKind},
    mutation::Mutation,
    oracle::{Oracle, Violation},
    simulation::{Outcome, Simulation},
};

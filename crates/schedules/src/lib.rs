//! Random schedules of failures against the pure decisions, in virtual time.
//! Small fakes stand at the interfaces; an oracle checks what must always hold.

mod daemon;
mod fault;
mod member;
mod mutation;
mod oracle;
mod expiring_lock;
mod store;
mod simulation;

pub use crate::{
    expiring_lock::{ExecutionCounts, simulate_expiring_lock},
    fault::{Fault, FaultKind},
    mutation::Mutation,
    oracle::{Oracle, Violation},
    simulation::{Outcome, Simulation},
};

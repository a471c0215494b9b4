//! The daemon of an entry VM on the users' platform. It accepts callers that speak the
//! line protocol and runs each statement on a suitable member. The crates `pool` and
//! `succession` make the decisions and do no I/O; this crate performs the I/O.
//!
//! The daemon has two threads. The data thread owns the sockets of callers and members.
//! The control thread communicates with the store and the other daemons, and answers the
//! platform's probes.

mod clock;
mod control;
mod daemon;
mod data;
mod messages;
mod organisation_metrics;
mod shared;
mod standstill;
mod start_up;

pub use crate::{
    control::{ReplicasCommand, ReplicasError},
    daemon::{Daemon, StartError},
};

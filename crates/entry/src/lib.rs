//! The daemon of an entry VM on the users' platform: accepts callers that speak the
//! line protocol and runs each statement on a fitting member. Decisions are made by
//! the pure crates `pool` and `succession`; this crate carries them out.
//!
//! Two threads: the data thread owns the sockets of callers and members, the control
//! thread speaks to the store, to the other daemons and to the platform's probes.

mod clock;
mod control;
mod daemon;
mod data;
mod messages;
mod shared;

pub use crate::daemon::{Daemon, StartError};

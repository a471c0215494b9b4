//! The daemon of an entry VM: accepts callers, finds the group that a database name stands
//! for, and runs each request on a suitable member. Decisions are made by the crates
//! without I/O, such as `home`, `leadership` and `membership`; this crate executes them.

mod clock;
mod control;
mod daemon;
mod data;
mod group;
mod metrics;
mod orders;
mod session;
mod tasks;

pub use crate::daemon::{BoundListeners, Daemon, StartError};

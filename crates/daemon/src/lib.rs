//! The daemon of an entry VM: accepts callers, finds the group that a name
//! leads to, and runs each request on a fitting member. All decisions are made
//! by the pure crates; this crate carries them out.

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

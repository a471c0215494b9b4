//! Randomized soak of the platform edition: the real daemons and the stand-in of the
//! users' platform as processes of their own, faults from outside them, and checks of
//! what callers were told against what members committed.
//!
//! **Architecture invariant:** it knows the daemon only by its command line, its settings
//! file and its sockets, so that it cannot share a mistake with it.

mod caller;
mod check;
mod deployment;
mod fault;
mod history;
mod line_conn;
mod options;
mod process;
mod proxy;
mod run;

pub use crate::{
    options::Options,
    run::{Outcome, SoakError, run},
};

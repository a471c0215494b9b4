//! Randomized soak test of the platform edition. It runs the real daemons and a stand-in
//! of the users' platform as separate processes, injects faults from outside, and compares
//! the replies that callers received with the commits of the members.
//!
//! **Architecture invariant:** the soak test uses the daemon only through its command line,
//! its settings file and its sockets, and shares no code with it, so that a defect of the
//! daemon cannot hide itself from the checks.

mod caller;
mod check;
mod config_history;
mod config_prober;
mod daemon_addrs;
mod deployment;
mod fault;
mod history;
mod key_history;
mod line_conn;
mod misbehaving_client;
mod moving_caller;
mod options;
mod organisations;
mod peer_process;
mod process;
mod proxy;
mod quota;
mod run;

pub use crate::{
    options::Options,
    run::{Outcome, SoakError, run},
};

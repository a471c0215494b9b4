//! Helpers for end-to-end tests: a cluster of daemons in this process, real PostgreSQL
//! clients, and transcripts of their requests and answers.

mod caller;
mod faults;
mod platform;
mod test_env;

pub use crate::{
    caller::{Caller, describe_error},
    faults::FaultInjector,
    platform::PlatformHandle,
    test_env::TestEnv,
};

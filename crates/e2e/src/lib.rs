//! Helpers for tests of the whole path: a deployment in this process, real
//! clients, and transcripts of what they see.

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

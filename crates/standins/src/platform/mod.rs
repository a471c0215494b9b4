//! Stand-in for the platform of the PostgreSQL edition: a store with the initial state of a
//! deployment.

mod service;

pub use crate::platform::service::{BoundPlatform, bind_platform, run_platform};

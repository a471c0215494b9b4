//! The platform of the PostgreSQL edition: its store, filled with a deployment's start.

mod service;

pub use crate::platform::service::{BoundPlatform, bind_platform, run_platform};

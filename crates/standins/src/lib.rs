//! In-memory stand-ins for the systems that the proxy depends on: the members of
//! database groups, and the platform's row store, object store and VM list.
//!
//! **Architecture invariant:** only local clusters, tests and benchmarks use this
//! crate; the daemons do not depend on it.

pub mod lines;
pub mod member;
pub mod platform;
pub mod store;

mod clock;
mod deployment;
mod running;

pub use crate::{
    deployment::{Deployment, DeploymentError, GroupSpec, MemberSpec, VmSpec},
    running::RunningStandIns,
};

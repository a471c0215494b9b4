//! Stand-ins for what surrounds the system: the members of database groups and
//! the platform's table service, object store and VM list. For trials and
//! tests only; the daemon does not know this crate.

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

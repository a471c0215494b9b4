//! A local cluster for tests and for trying the proxy: the stand-ins and several daemons,
//! run as threads of one process.

mod options;
mod preset;
mod local_cluster;

pub use crate::{
    local_cluster::{LocalCluster, LocalClusterError, PEER_SECRET},
    options::Options,
    preset::{Preset, TABLE_HEADER},
};

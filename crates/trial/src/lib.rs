//! A whole deployment as threads of one process: the stand-ins and a few
//! daemons. For newcomers and for tests.

mod options;
mod preset;
mod local_cluster;

pub use crate::{
    local_cluster::{LocalCluster, LocalClusterError, PEER_SECRET},
    options::Options,
    preset::{Preset, TABLE_HEADER},
};

//! Tasks of one group: the task that runs the group's home and owns its idle connections,
//! and one control connection to each member.

mod query;
mod handle;
mod held_conn;
mod slot_lease;
mod link;
mod daemon_pool;
mod pooled_conn;
mod report;
mod task;
mod request_update;

pub(crate) use crate::group::{
    daemon_pool::DaemonPool,
    handle::{GroupEvent, GroupHandle},
    held_conn::{HeldConn, Owner},
    link::reigns,
    pooled_conn::{PooledConn, Prepared},
    query::QueryResult,
    request_update::{Granted, RequestUpdate, lost},
    slot_lease::SlotLease,
    task::{GroupSetup, GroupTask},
};

//! Control calls between daemons, over TCP by a remote procedure call library.
//! Every call carries the deployment's secret; a stranger's call is refused.

mod daemon_client;
mod heartbeat;
mod reachability;
mod report;
mod row_copy;
mod serve;
mod service;

pub use crate::{
    daemon_client::{CallError, DaemonClient},
    heartbeat::Heartbeat,
    reachability::{Reachability, ReachabilityQuery},
    report::{DaemonReport, Explanation, GroupReport, MemberReport},
    row_copy::RowCopy,
    serve::serve,
    service::{IncomingCall, PeerClient},
};

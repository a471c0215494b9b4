//! Control calls between daemons and from the operators' tool, as remote procedure calls
//! over TCP. Every call carries the deployment's secret; a call with another secret is
//! rejected.

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

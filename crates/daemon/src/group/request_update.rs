use std::net::SocketAddr;

use base::{Position, Term};
use futures_channel::mpsc;
use futures_util::{StreamExt, future};
use home::Refusal;

use crate::group::{pooled_conn::PooledConn, slot_lease::SlotLease};

/// Update that a group's task sends to a session about its request.
#[derive(Debug)]
pub(crate) enum RequestUpdate {
    /// The request may run at a member.
    Granted(Box<Granted>),
    /// The statement may run on the connection that the session holds.
    RunPinned(SlotLease),
    /// The request is refused and has not run.
    Refused(Refusal),
    /// The commit may be acknowledged to the caller.
    Acknowledged,
    /// It is unknown whether the commit is durable; with the reason.
    Unresolved(&'static str),
    /// The member that runs the request has been replaced as primary, or is a replica that
    /// has stopped answering. No reply is to be expected.
    MemberLost,
    /// The caller has asked for the request to be cancelled.
    Cancelled,
}

/// Waits for [`RequestUpdate::MemberLost`]; other updates are discarded. Never completes if
/// the channel is closed.
pub(crate) async fn lost(updates: &mut mpsc::UnboundedReceiver<RequestUpdate>) {
    loop {
        match updates.next().await {
            Some(RequestUpdate::MemberLost) => return,
            Some(_) => {}
            None => future::pending().await,
        }
    }
}

/// Permission to run a request at a member.
#[derive(Debug)]
pub(crate) struct Granted {
    /// The occupied slot.
    pub(crate) lease: SlotLease,
    pub(crate) addr: SocketAddr,
    /// Term to set on the connection; the member rejects the request if it is outdated.
    pub(crate) term: Term,
    /// An idle connection; `None` if a new one is to be opened.
    pub(crate) conn: Option<PooledConn>,
    /// Position from which on the caller must see all writes.
    pub(crate) required: Position,
    /// Why this member was chosen, for the log.
    pub(crate) reason: &'static str,
}

use std::net::SocketAddr;

use base::{Position, Term};
use futures_channel::mpsc;
use futures_util::{StreamExt, future};
use home::Refusal;

use crate::group::{pooled_conn::PooledConn, slot_lease::SlotLease};

/// What a home tells a session about its request.
#[derive(Debug)]
pub(crate) enum RequestUpdate {
    /// It may run.
    Granted(Box<Granted>),
    /// Its statement may run on the connection that the session holds.
    RunPinned(SlotLease),
    /// It is refused and has not run.
    Refused(Refusal),
    /// Its commit is acknowledged.
    Acknowledged,
    /// The fate of its commit is not known.
    Unresolved(&'static str),
    /// The member that runs it is no longer part of the present reign.
    MemberLost,
    /// Its caller wants it cancelled.
    Cancelled,
}

/// Waits until the member of the present request is given up, for ever if it is
/// not.
pub(crate) async fn lost(updates: &mut mpsc::UnboundedReceiver<RequestUpdate>) {
    loop {
        match updates.next().await {
            Some(RequestUpdate::MemberLost) => return,
            Some(_) => {}
            None => future::pending().await,
        }
    }
}

/// The right to run at a member.
#[derive(Debug)]
pub(crate) struct Granted {
    /// The slot.
    pub(crate) lease: SlotLease,
    /// Address of the member.
    pub(crate) addr: SocketAddr,
    /// Term under which the request goes out.
    pub(crate) term: Term,
    /// An idle connection; `None` if one is to be opened.
    pub(crate) conn: Option<PooledConn>,
    /// Position that the caller must see.
    pub(crate) required: Position,
    /// Why this member.
    pub(crate) reason: &'static str,
}

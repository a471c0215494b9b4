use std::net::SocketAddr;

use base::{MemberId, RequestId, Time};
use futures_channel::{mpsc, oneshot};
use home::{Commit, ConnectionState, Finished, PinnedStatement, ProbeReply, Submission};
use membership::Takeover;
use peers::GroupReport;
use platform::MembersRecord;
use table::{Policy, RowKey};

use crate::group::{pooled_conn::PooledConn, request_update::RequestUpdate};

/// What happens to a group, told to its task.
#[derive(Debug)]
pub(crate) enum GroupEvent {
    /// A request asks for a member.
    Submit(Submission, mpsc::UnboundedSender<RequestUpdate>),
    /// A statement asks for a slot on a held connection.
    Pinned(PinnedStatement, mpsc::UnboundedSender<RequestUpdate>),
    /// A request that was granted has ended.
    Finished(Finished, Option<PooledConn>),
    /// A held connection is free or gone.
    Released(MemberId, ConnectionState, Option<PooledConn>),
    /// A write was committed.
    Committed(Commit, mpsc::UnboundedSender<RequestUpdate>),
    /// The caller of a request is gone.
    Cancelled(RequestId),
    /// A member answered a probe.
    Probed(ProbeReply),
    /// A warm connection was opened, or not.
    Warmed(MemberId, Option<PooledConn>),
    /// News for the change of primary.
    Leadership(leadership::Event),
    /// This daemon holds the claim.
    BecameHome(Time, Takeover),
    /// This daemon hands the group over.
    HandoverStarted,
    /// This daemon's claim was confirmed.
    Exclusive(Time),
    /// This daemon is no longer the home.
    Retire,
    /// An operator asks what the home knows.
    Report(oneshot::Sender<GroupReport>),
    /// An operator asks what would be chosen for a policy.
    Explain(RowKey, Policy, oneshot::Sender<Vec<String>>),
    /// The platform's record of the members.
    Members(MembersRecord),
}

/// Way to a group's task.
#[derive(Clone, Debug)]
pub(crate) struct GroupHandle {
    tx: mpsc::UnboundedSender<GroupEvent>,
}

impl GroupHandle {
    /// A handle and the receiver for the group's task.
    pub(crate) fn new() -> (GroupHandle, mpsc::UnboundedReceiver<GroupEvent>) {
        let (tx, rx) = mpsc::unbounded();
        (GroupHandle { tx }, rx)
    }

    /// Tells the task; whether it has not ended.
    pub(crate) fn send(&self, event: GroupEvent) -> bool {
        self.tx.unbounded_send(event).is_ok()
    }
}

/// Where a member is.
#[derive(Clone, Debug)]
pub(crate) struct MemberAddr {
    /// Name of the member.
    pub(crate) id: MemberId,
    /// Its address.
    pub(crate) addr: SocketAddr,
}

use base::Rank;
use tokio::sync::{mpsc, oneshot};

use crate::{
    heartbeat::Heartbeat,
    reachability::{Reachability, ReachabilityQuery},
    report::{DaemonReport, Explanation},
    row_copy::RowCopy,
};

/// Calls that one daemon makes to another.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats; `None` to strangers.
    async fn heartbeat(secret: String, heartbeat: Heartbeat) -> Option<Heartbeat>;
    /// Asks for a second opinion; `None` to strangers.
    async fn check_reachability(secret: String, query: ReachabilityQuery) -> Option<Reachability>;
    /// Asks for the table in force and its version; `None` to strangers, or if
    /// there is none yet.
    async fn table(secret: String) -> Option<(u64, String)>;
    /// Asks for the platform's rows as the daemon knows them; `None` to strangers.
    async fn rows(secret: String) -> Option<Vec<RowCopy>>;
    /// Asks what the daemon knows; `None` to strangers.
    async fn report(secret: String) -> Option<DaemonReport>;
    /// Asks what would be chosen now for a name and rank; `None` to strangers, or
    /// if the group is not at home there.
    async fn explain(secret: String, name: String, rank: Rank) -> Option<Explanation>;
    /// Asks to cancel a session's request; whether the session was known.
    async fn cancel(secret: String, pid: i32, key: i32) -> bool;
}

/// A call that the daemon has to answer.
#[derive(Debug)]
pub enum IncomingCall {
    /// A heartbeat.
    Heartbeat(Heartbeat, oneshot::Sender<Heartbeat>),
    /// A second opinion.
    CheckReachability(ReachabilityQuery, oneshot::Sender<Reachability>),
    /// The table.
    Table(oneshot::Sender<Option<(u64, String)>>),
    /// The platform's rows.
    Rows(oneshot::Sender<Vec<RowCopy>>),
    /// What the daemon knows.
    Report(oneshot::Sender<DaemonReport>),
    /// What would be chosen.
    Explain(String, Rank, oneshot::Sender<Option<Explanation>>),
    /// The cancelling of a request.
    Cancel(i32, i32, oneshot::Sender<bool>),
}

/// Answers calls by passing them to the daemon's control task.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) secret: String,
    pub(crate) calls: mpsc::Sender<IncomingCall>,
}

impl Server {
    async fn ask<T>(
        self,
        secret: &str,
        call: impl FnOnce(oneshot::Sender<T>) -> IncomingCall,
    ) -> Option<T> {
        if secret != self.secret {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        self.calls.send(call(tx)).await.ok()?;
        rx.await.ok()
    }
}

impl Peer for Server {
    async fn heartbeat(
        self,
        _: tarpc::context::Context,
        secret: String,
        heartbeat: Heartbeat,
    ) -> Option<Heartbeat> {
        self.ask(&secret, |tx| IncomingCall::Heartbeat(heartbeat, tx)).await
    }

    async fn check_reachability(
        self,
        _: tarpc::context::Context,
        secret: String,
        query: ReachabilityQuery,
    ) -> Option<Reachability> {
        self.ask(&secret, |tx| IncomingCall::CheckReachability(query, tx)).await
    }

    async fn table(self, _: tarpc::context::Context, secret: String) -> Option<(u64, String)> {
        self.ask(&secret, IncomingCall::Table).await.flatten()
    }

    async fn rows(self, _: tarpc::context::Context, secret: String) -> Option<Vec<RowCopy>> {
        self.ask(&secret, IncomingCall::Rows).await
    }

    async fn report(self, _: tarpc::context::Context, secret: String) -> Option<DaemonReport> {
        self.ask(&secret, IncomingCall::Report).await
    }

    async fn explain(
        self,
        _: tarpc::context::Context,
        secret: String,
        name: String,
        rank: Rank,
    ) -> Option<Explanation> {
        self.ask(&secret, |tx| IncomingCall::Explain(name, rank, tx)).await.flatten()
    }

    async fn cancel(self, _: tarpc::context::Context, secret: String, pid: i32, key: i32) -> bool {
        let known = self.ask(&secret, |tx| IncomingCall::Cancel(pid, key, tx)).await;
        known.unwrap_or(false)
    }
}

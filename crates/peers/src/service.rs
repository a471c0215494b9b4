use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use base::Rank;
use tokio::sync::{mpsc, oneshot};

use crate::{
    heartbeat::Heartbeat,
    reachability::{Reachability, ReachabilityQuery},
    report::{DaemonReport, Explanation},
    row_copy::RowCopy,
};

/// Control calls of a daemon, as served to other daemons and to the operators' tool.
/// Methods that return an `Option` return `None` if the secret is wrong.
#[tarpc::service]
pub trait Peer {
    /// Receives a heartbeat and returns the daemon's own.
    async fn heartbeat(secret: String, heartbeat: Heartbeat) -> Option<Heartbeat>;
    /// Checks whether the daemon reaches a primary.
    async fn check_reachability(secret: String, query: ReachabilityQuery) -> Option<Reachability>;
    /// Returns the version and text of the applied operators' table; `None` also if there is
    /// none yet.
    async fn table(secret: String) -> Option<(u64, String)>;
    /// Returns the platform's rows that the daemon has cached.
    async fn rows(secret: String) -> Option<Vec<RowCopy>>;
    /// Returns the daemon's status.
    async fn report(secret: String) -> Option<DaemonReport>;
    /// Explains which member would run a request with this name and rank now; `None` also if
    /// the daemon is not the home of the name's group.
    async fn explain(secret: String, name: String, rank: Rank) -> Option<Explanation>;
    /// Cancels a session's request. Returns false if the session is not known or the secret is
    /// wrong.
    async fn cancel(secret: String, pid: i32, key: i32) -> bool;
}

/// A call with the correct secret, and the channel on which the daemon answers it.
#[derive(Debug)]
pub enum IncomingCall {
    /// A call of [`Peer::heartbeat`].
    Heartbeat(Heartbeat, oneshot::Sender<Heartbeat>),
    /// A call of [`Peer::check_reachability`].
    CheckReachability(ReachabilityQuery, oneshot::Sender<Reachability>),
    /// A call of [`Peer::table`].
    Table(oneshot::Sender<Option<(u64, String)>>),
    /// A call of [`Peer::rows`].
    Rows(oneshot::Sender<Vec<RowCopy>>),
    /// A call of [`Peer::report`].
    Report(oneshot::Sender<DaemonReport>),
    /// A call of [`Peer::explain`].
    Explain(String, Rank, oneshot::Sender<Option<Explanation>>),
    /// A call of [`Peer::cancel`], with the process ID and the secret key of the session.
    Cancel(i32, i32, oneshot::Sender<bool>),
}

/// Checks the secret of each call and passes it to the daemon's control task.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) secret: String,
    pub(crate) calls: mpsc::Sender<IncomingCall>,
    /// Set once the connection has carried a call with the right secret.
    pub(crate) proven: Arc<AtomicBool>,
}

impl Server {
    async fn dispatch<T>(
        self,
        secret: &str,
        call: impl FnOnce(oneshot::Sender<T>) -> IncomingCall,
    ) -> Option<T> {
        if secret != self.secret {
            return None;
        }
        self.proven.store(true, Ordering::Relaxed);
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
        self.dispatch(&secret, |tx| IncomingCall::Heartbeat(heartbeat, tx)).await
    }

    async fn check_reachability(
        self,
        _: tarpc::context::Context,
        secret: String,
        query: ReachabilityQuery,
    ) -> Option<Reachability> {
        self.dispatch(&secret, |tx| IncomingCall::CheckReachability(query, tx)).await
    }

    async fn table(self, _: tarpc::context::Context, secret: String) -> Option<(u64, String)> {
        self.dispatch(&secret, IncomingCall::Table).await.flatten()
    }

    async fn rows(self, _: tarpc::context::Context, secret: String) -> Option<Vec<RowCopy>> {
        self.dispatch(&secret, IncomingCall::Rows).await
    }

    async fn report(self, _: tarpc::context::Context, secret: String) -> Option<DaemonReport> {
        self.dispatch(&secret, IncomingCall::Report).await
    }

    async fn explain(
        self,
        _: tarpc::context::Context,
        secret: String,
        name: String,
        rank: Rank,
    ) -> Option<Explanation> {
        self.dispatch(&secret, |tx| IncomingCall::Explain(name, rank, tx)).await.flatten()
    }

    async fn cancel(self, _: tarpc::context::Context, secret: String, pid: i32, key: i32) -> bool {
        let known = self.dispatch(&secret, |tx| IncomingCall::Cancel(pid, key, tx)).await;
        known.unwrap_or(false)
    }
}

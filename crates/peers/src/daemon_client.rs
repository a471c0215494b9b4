use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Rank;
use snafu::Snafu;
use tarpc::{client, context, tokio_serde::formats::Bincode};

use crate::{
    heartbeat::Heartbeat,
    reachability::{Reachability, ReachabilityQuery},
    report::{DaemonReport, Explanation},
    row_copy::RowCopy,
    service::PeerClient,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Client of one daemon's control calls. The connection is opened on the first call and
/// again after a failed one.
#[derive(Debug)]
pub struct DaemonClient {
    addr: SocketAddr,
    secret: String,
    client: Option<PeerClient>,
}

/// Why a call has no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// The address refuses connections, which means that no daemon runs there.
    #[snafu(display("the address refuses connections"))]
    Refused,
    /// The daemon did not answer in time, or the connection failed.
    #[snafu(display("the daemon did not answer in time"))]
    Silent,
    /// The daemon rejected the secret, or stopped before it answered.
    #[snafu(display("call refused: wrong secret"))]
    Unauthenticated,
}

impl DaemonClient {
    /// Creates a client of the daemon at `addr`, without connecting yet.
    pub fn new(addr: SocketAddr, secret: String) -> DaemonClient {
        DaemonClient { addr, secret, client: None }
    }

    /// Sends a heartbeat and returns the daemon's own.
    pub async fn heartbeat(&mut self, heartbeat: Heartbeat) -> Result<Heartbeat, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let reply = client.heartbeat(call_context(), secret, heartbeat).await;
        self.check_reply(reply)?.ok_or(CallError::Unauthenticated)
    }

    /// Asks whether the daemon reaches a primary.
    pub async fn check_reachability(
        &mut self,
        query: ReachabilityQuery,
    ) -> Result<Reachability, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let reply = client.check_reachability(call_context(), secret, query).await;
        self.check_reply(reply)?.ok_or(CallError::Unauthenticated)
    }

    /// Fetches the applied table and its version. `None` if the daemon has no table yet or
    /// rejected the secret.
    pub async fn table(&mut self) -> Result<Option<(u64, String)>, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let reply = client.table(call_context(), secret).await;
        self.check_reply(reply)
    }

    /// Asks the daemon to cancel a session's request. Returns false if the daemon does not
    /// know the session or rejected the secret.
    pub async fn cancel(&mut self, pid: i32, key: i32) -> Result<bool, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let reply = client.cancel(call_context(), secret, pid, key).await;
        self.check_reply(reply)
    }

    /// Fetches the platform's rows that the daemon has cached.
    pub async fn rows(&mut self) -> Result<Vec<RowCopy>, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let reply = client.rows(call_context(), secret).await;
        self.check_reply(reply)?.ok_or(CallError::Unauthenticated)
    }

    /// Fetches the daemon's status.
    pub async fn report(&mut self) -> Result<DaemonReport, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let reply = client.report(call_context(), secret).await;
        self.check_reply(reply)?.ok_or(CallError::Unauthenticated)
    }

    /// Asks which member would run a request with this name and rank now, and why. `None` if
    /// the daemon is not the home of the name's group or rejected the secret.
    pub async fn explain(
        &mut self,
        name: &str,
        rank: Rank,
    ) -> Result<Option<Explanation>, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let reply = client.explain(call_context(), secret, name.to_owned(), rank).await;
        self.check_reply(reply)
    }

    async fn client(&mut self) -> Result<PeerClient, CallError> {
        if let Some(client) = &self.client {
            return Ok(client.clone());
        }
        let connect = tarpc::serde_transport::tcp::connect(self.addr, Bincode::default);
        let transport = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(transport)) => transport,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(CallError::Refused);
            }
            _ => return Err(CallError::Silent),
        };
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        self.client = Some(client.clone());
        Ok(client)
    }

    /// Drops the connection after a failed call, so that the next call opens a new one.
    fn check_reply<T>(&mut self, reply: Result<T, client::RpcError>) -> Result<T, CallError> {
        reply.map_err(|_| {
            self.client = None;
            CallError::Silent
        })
    }
}

fn call_context() -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + CALL_TIMEOUT;
    cx
}

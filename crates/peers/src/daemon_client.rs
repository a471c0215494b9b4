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

const CONNECT_LIMIT: Duration = Duration::from_millis(300);
const CALL_LIMIT: Duration = Duration::from_millis(600);

/// Calls one other daemon, over a connection that is opened when needed.
#[derive(Debug)]
pub struct DaemonClient {
    addr: SocketAddr,
    secret: String,
    client: Option<PeerClient>,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// The address refuses connections: no daemon runs there.
    #[snafu(display("the address refuses connections"))]
    Refused,
    /// No answer in time.
    #[snafu(display("no answer"))]
    Silent,
    /// The daemon takes the caller for a stranger.
    #[snafu(display("refused as a stranger"))]
    Unauthenticated,
}

impl DaemonClient {
    /// A caller of the daemon at `addr`.
    pub fn new(addr: SocketAddr, secret: String) -> DaemonClient {
        DaemonClient { addr, secret, client: None }
    }

    /// Exchanges heartbeats.
    pub async fn heartbeat(&mut self, heartbeat: Heartbeat) -> Result<Heartbeat, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let answer = client.heartbeat(cx(), secret, heartbeat).await;
        self.checked(answer)?.ok_or(CallError::Unauthenticated)
    }

    /// Asks for a second opinion.
    pub async fn check_reachability(
        &mut self,
        query: ReachabilityQuery,
    ) -> Result<Reachability, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let answer = client.check_reachability(cx(), secret, query).await;
        self.checked(answer)?.ok_or(CallError::Unauthenticated)
    }

    /// Asks for the table in force.
    pub async fn table(&mut self) -> Result<Option<(u64, String)>, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let answer = client.table(cx(), secret).await;
        self.checked(answer)
    }

    /// Asks to cancel a session's request; whether the session was known.
    pub async fn cancel(&mut self, pid: i32, key: i32) -> Result<bool, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let answer = client.cancel(cx(), secret, pid, key).await;
        self.checked(answer)
    }

    /// Asks for the platform's rows as the daemon knows them.
    pub async fn rows(&mut self) -> Result<Vec<RowCopy>, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let answer = client.rows(cx(), secret).await;
        self.checked(answer)?.ok_or(CallError::Unauthenticated)
    }

    /// Asks what the daemon knows.
    pub async fn report(&mut self) -> Result<DaemonReport, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let answer = client.report(cx(), secret).await;
        self.checked(answer)?.ok_or(CallError::Unauthenticated)
    }

    /// Asks what would be chosen now for a name and rank; `None` if the daemon is
    /// not the home of the name's group.
    pub async fn explain(
        &mut self,
        name: &str,
        rank: Rank,
    ) -> Result<Option<Explanation>, CallError> {
        let secret = self.secret.clone();
        let client = self.client().await?;
        let answer = client.explain(cx(), secret, name.to_owned(), rank).await;
        self.checked(answer)
    }

    async fn client(&mut self) -> Result<PeerClient, CallError> {
        if let Some(client) = &self.client {
            return Ok(client.clone());
        }
        let connect = tarpc::serde_transport::tcp::connect(self.addr, Bincode::default);
        let transport = match tokio::time::timeout(CONNECT_LIMIT, connect).await {
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

    /// Drops the connection after a failed call.
    fn checked<T>(&mut self, answer: Result<T, client::RpcError>) -> Result<T, CallError> {
        answer.map_err(|_| {
            self.client = None;
            CallError::Silent
        })
    }
}

fn cx() -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + CALL_LIMIT;
    cx
}

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpStream, tcp},
    time,
};

/// Time limit for opening a session and for each response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Error codes that guarantee that the statement committed nothing.
const NOT_COMMITTED_CODES: [&str; 7] =
    ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", DENIED_CODE];
/// Error code after which the daemon closes the session.
const DENIED_CODE: &str = "NOAUTH";

/// A session with a daemon over the line protocol.
#[derive(Debug)]
pub(crate) struct LineConn {
    lines: tokio::io::Lines<BufReader<tcp::OwnedReadHalf>>,
    tx: tcp::OwnedWriteHalf,
}

/// Result of a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Reply {
    /// The statement succeeded and returned these rows.
    Success(Vec<String>),
    /// An error whose code guarantees that nothing was committed.
    NotCommitted(String),
    /// An error after which the statement may or may not have been committed.
    InDoubt(String),
    /// The connection closed or the time limit passed before the response was complete.
    NoResponse,
}

impl Reply {
    /// Whether the caller's API key was denied, so that the session has ended.
    pub(crate) fn is_denied(&self) -> bool {
        matches!(self, Reply::NotCommitted(text) if text.starts_with(DENIED_CODE))
    }
}

impl LineConn {
    /// Opens a session. The error is the line that the daemon answered, or `None` if it
    /// did not answer.
    pub(crate) async fn open(
        addr: SocketAddr,
        database: &str,
        key: &str,
    ) -> Result<LineConn, Option<String>> {
        let open = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            let (rx, tx) = stream.into_split();
            let mut conn = LineConn { lines: BufReader::new(rx).lines(), tx };
            conn.send(&format!("STARTUP {database} {key}")).await?;
            let line = conn.read_line().await?;
            Some((conn, line))
        };
        match time::timeout(RESPONSE_TIMEOUT, open).await.ok().flatten() {
            Some((conn, line)) if line.starts_with("READY I") => Ok(conn),
            Some((_, line)) => Err(Some(line)),
            None => Err(None),
        }
    }

    /// Runs a statement under the request ID `id`.
    pub(crate) async fn query(&mut self, id: &str, text: &str) -> Reply {
        let run = async {
            self.send(&format!("QUERY {id} {text}")).await?;
            let (mut rows, mut reply) = (Vec::new(), Reply::NoResponse);
            loop {
                let line = self.read_line().await?;
                let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
                match word {
                    "ROW" => rows.push(rest.to_owned()),
                    "COMPLETE" => reply = Reply::Success(std::mem::take(&mut rows)),
                    "ERROR" => {
                        let code = rest.split(' ').next().unwrap_or_default();
                        let not_committed = NOT_COMMITTED_CODES.contains(&code);
                        let text = rest.to_owned();
                        reply = if not_committed {
                            Reply::NotCommitted(text)
                        } else {
                            Reply::InDoubt(text)
                        };
                        if code == DENIED_CODE {
                            return Some(reply);
                        }
                    }
                    "READY" => return Some(reply),
                    _ => return None,
                }
            }
        };
        time::timeout(RESPONSE_TIMEOUT, run).await.ok().flatten().unwrap_or(Reply::NoResponse)
    }

    async fn send(&mut self, line: &str) -> Option<()> {
        self.tx.write_all(format!("{line}\r\n").as_bytes()).await.ok()
    }

    async fn read_line(&mut self) -> Option<String> {
        self.lines.next_line().await.ok().flatten()
    }
}

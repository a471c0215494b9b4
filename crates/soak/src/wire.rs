use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpStream, tcp},
    time,
};

/// How long a caller waits for a session and for an answer.
const LIMIT: Duration = Duration::from_secs(10);
/// Codes that promise that nothing is kept.
const PROMISES: [&str; 6] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"];

/// A session with a daemon.
#[derive(Debug)]
pub(crate) struct Wire {
    lines: tokio::io::Lines<BufReader<tcp::OwnedReadHalf>>,
    tx: tcp::OwnedWriteHalf,
}

/// How a statement ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Reply {
    /// Success, with its rows.
    Done(Vec<String>),
    /// Nothing of it is kept.
    NotKept(String),
    /// An error that promises nothing.
    Open(String),
    /// The connection ended before the answer did.
    Cut,
}

impl Wire {
    /// Opens a session; otherwise what the daemon said, if anything.
    pub(crate) async fn open(addr: SocketAddr, database: &str) -> Result<Wire, Option<String>> {
        let open = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            let (rx, tx) = stream.into_split();
            let mut wire = Wire { lines: BufReader::new(rx).lines(), tx };
            wire.send(&format!("STARTUP {database} soak")).await?;
            let line = wire.line().await?;
            Some((wire, line))
        };
        match time::timeout(LIMIT, open).await.ok().flatten() {
            Some((wire, line)) if line.starts_with("READY I") => Ok(wire),
            Some((_, line)) => Err(Some(line)),
            None => Err(None),
        }
    }

    /// Runs a statement.
    pub(crate) async fn query(&mut self, id: &str, text: &str) -> Reply {
        let run = async {
            self.send(&format!("QUERY {id} {text}")).await?;
            let (mut rows, mut reply) = (Vec::new(), Reply::Cut);
            loop {
                let line = self.line().await?;
                let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
                match word {
                    "ROW" => rows.push(rest.to_owned()),
                    "COMPLETE" => reply = Reply::Done(std::mem::take(&mut rows)),
                    "ERROR" => {
                        let code = rest.split(' ').next().unwrap_or_default();
                        let promised = PROMISES.contains(&code);
                        let text = rest.to_owned();
                        reply = if promised { Reply::NotKept(text) } else { Reply::Open(text) };
                    }
                    "READY" => return Some(reply),
                    _ => return None,
                }
            }
        };
        time::timeout(LIMIT, run).await.ok().flatten().unwrap_or(Reply::Cut)
    }

    async fn send(&mut self, line: &str) -> Option<()> {
        self.tx.write_all(format!("{line}\r\n").as_bytes()).await.ok()
    }

    async fn line(&mut self) -> Option<String> {
        self.lines.next_line().await.ok().flatten()
    }
}

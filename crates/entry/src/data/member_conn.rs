use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use adapter::{Code, MemberMsg, PreparedStatement, TransactionState, own, write};
use base::{FastSet, MemberId, Position};
use bytes::BytesMut;
use monoio::{net::TcpStream, time};
use snafu::Snafu;
use wire::{Conn, WireError};

use crate::data::names::member_name;

/// Limit for opening a connection: it takes 12 ms of a slot that may be waited for.
const OPEN_LIMIT: Duration = Duration::from_millis(800);
/// Limit of the statements that prepare a connection for its next user.
const SETUP_LIMIT: Duration = Duration::from_millis(800);
/// Prepared names kept on a connection; one with more is cleared.
const MAX_NAMES: usize = 500;

/// Values that a session has set, by name.
pub(crate) type Values = BTreeMap<String, String>;

/// An open connection to a member.
#[derive(Debug)]
pub(crate) struct MemberConn {
    pub(crate) number: u64,
    conn: Conn,
    values: Values,
    names: FastSet<u32>,
}

/// What a member answered to one statement.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) rows: Vec<String>,
    /// The member's signature, or why the statement failed.
    pub(crate) result: Result<String, (Code, String)>,
    pub(crate) state: TransactionState,
    pub(crate) position: Option<Position>,
}

/// Why a connection cannot be used.
#[derive(Debug, Snafu)]
pub(crate) enum MemberError {
    #[snafu(display("the connection broke: {source}"))]
    Broken { source: WireError },
    #[snafu(display("no answer within the limit"))]
    Silent,
    #[snafu(display("refused with {code}: {text}"))]
    Refused { code: Code, text: String },
}

/// What a connection must be set up with before a statement runs on it.
#[derive(Debug)]
pub(crate) struct SetUp<'a> {
    pub(crate) values: &'a Values,
    /// Number and shape of the prepared statement that will run.
    pub(crate) prepared: Option<(u32, &'a PreparedStatement)>,
    /// The statement that begins a transaction, and the position it needs.
    pub(crate) begin: Option<(&'static str, Option<Position>)>,
}

impl MemberConn {
    /// Opens a connection to a member of a group, if it is that member.
    pub(crate) async fn open(
        number: u64,
        addr: SocketAddr,
        group: &str,
        who: &str,
        member: &MemberId,
    ) -> Result<(MemberConn, Option<Position>), MemberError> {
        let open = async {
            let mut conn = Conn::new(TcpStream::connect_addr(addr).await.map_err(broken)?);
            let mut buf = BytesMut::new();
            write::startup(&mut buf, group, who, member.as_str());
            conn.queue_bytes(&buf);
            conn.flush().await.map_err(broken)?;
            let mut opened =
                MemberConn { number, conn, values: Values::new(), names: FastSet::default() };
            match opened.message().await? {
                MemberMsg::Ready { position, .. } => Ok((opened, position)),
                MemberMsg::Error { code, text } => Err(MemberError::Refused { code, text }),
                _ => Err(unexpected()),
            }
        };
        time::timeout(OPEN_LIMIT, open).await.unwrap_or(Err(MemberError::Silent))
    }

    /// Whether the member has closed an idle connection, or said what nobody asked.
    pub(crate) fn is_spoilt(&mut self) -> bool {
        use futures_util::FutureExt;
        self.conn.fill().now_or_never().is_some() || self.conn.buffered() > 0
    }

    /// Brings values, prepared names and transaction to what the next statement
    /// needs. Nothing of the caller's has been sent if it fails.
    pub(crate) async fn set_up(&mut self, set_up: &SetUp<'_>) -> Result<(), MemberError> {
        let mut buf = BytesMut::new();
        let mut asked = 0;
        let mut ask = |text: &str, after| {
            write::query(&mut buf, own::STATEMENT_ID, after, text);
            asked += 1;
        };
        let foreign = self.values.keys().any(|name| !set_up.values.contains_key(name));
        if foreign || self.names.len() > MAX_NAMES {
            ask(own::RESET, None);
            self.values.clear();
            self.names.clear();
        }
        for (name, value) in set_up.values {
            if self.values.get(name) != Some(value) {
                ask(&own::set(name, value), None);
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some((number, shape)) = set_up.prepared
            && self.names.insert(number)
        {
            ask(&own::prepare(&member_name(number), shape), None);
        }
        if let Some((text, after)) = set_up.begin {
            ask(text, after);
        }
        if asked == 0 {
            return Ok(());
        }
        self.conn.queue_bytes(&buf);
        let run = async {
            self.conn.flush().await.map_err(broken)?;
            for _ in 0..asked {
                let answer = self.answer().await?;
                if let Err((code, text)) = answer.result {
                    return Err(MemberError::Refused { code, text });
                }
            }
            Ok(())
        };
        time::timeout(SETUP_LIMIT, run).await.unwrap_or(Err(MemberError::Silent))
    }

    /// Forgets which names are prepared, after the member said it lacks one.
    pub(crate) fn forget_names(&mut self) {
        self.names.clear();
    }

    /// Sends a statement of a caller.
    pub(crate) async fn send(
        &mut self,
        id: &str,
        after: Option<Position>,
        text: &str,
    ) -> Result<(), MemberError> {
        let mut buf = BytesMut::with_capacity(id.len() + text.len() + 48);
        write::query(&mut buf, id, after, text);
        self.conn.queue_bytes(&buf);
        self.conn.flush().await.map_err(broken)
    }

    /// Ends the transaction without keeping its writes; whether that worked.
    pub(crate) async fn roll_back(&mut self) -> bool {
        let run = async {
            self.send(own::STATEMENT_ID, None, own::ROLLBACK).await?;
            self.answer().await
        };
        match time::timeout(SETUP_LIMIT, run).await {
            Ok(Ok(answer)) => answer.state == TransactionState::Idle,
            _ => false,
        }
    }

    /// Reads the answer to one statement.
    pub(crate) async fn answer(&mut self) -> Result<Answer, MemberError> {
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            match self.message().await? {
                MemberMsg::Row { data } => rows.push(data),
                MemberMsg::Complete { signature } => result = Some(Ok(signature)),
                MemberMsg::Error { code, text } => result = Some(Err((code, text))),
                MemberMsg::Ready { state, position } => {
                    let result = result.ok_or_else(unexpected)?;
                    return Ok(Answer { rows, result, state, position });
                }
            }
        }
    }

    async fn message(&mut self) -> Result<MemberMsg, MemberError> {
        loop {
            let taken = MemberMsg::take(self.conn.read_buffer());
            match taken.map_err(|error| protocol(&error.to_string()))? {
                Some(msg) => return Ok(msg),
                None => {
                    self.conn.fill().await.map_err(|source| MemberError::Broken { source })?;
                }
            }
        }
    }
}

fn broken(source: impl Into<WireError>) -> MemberError {
    MemberError::Broken { source: source.into() }
}

fn protocol(message: &str) -> MemberError {
    MemberError::Broken { source: WireError::protocol(message) }
}

fn unexpected() -> MemberError {
    protocol("a message out of turn")
}

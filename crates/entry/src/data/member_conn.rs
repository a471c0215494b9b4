use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use adapter::{Code, LineScan, MemberMsg, PreparedStatement, TransactionState, own, write};
use base::{FastSet, MemberId, Position};
use bytes::BytesMut;
use monoio::{net::TcpStream, time};
use organisations::ApiKey;
use snafu::Snafu;
use wire::{Conn, WireError};

use crate::data::{
    answer_memory::AnswerMemory, names::statement_name, organisation_conn::OrganisationConn,
};

/// Time limit for opening a connection. Opening takes 12 ms of one of the member's slots,
/// for which it may have to wait.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for the statements that set up a connection for its next user, and for a
/// rollback.
const SETUP_TIMEOUT: Duration = Duration::from_millis(800);
/// Prepared statements kept on a connection; with more, it is reset before its next use.
const MAX_PREPARED: usize = 500;

/// Stands for the API key of a caller that has none, or one that is too long to be valid.
const NO_KEY: &str = "-";

/// Session values that are recorded for an idle connection.
const MAX_RECORDED_BYTES: usize = 16 * 1024;

/// Parameters that a session has set with SET, by name.
pub(crate) type SessionParams = BTreeMap<String, String>;

/// An open connection to a member.
#[derive(Debug)]
pub(crate) struct MemberConn {
    /// Number of the connection in the group's pool.
    pub(crate) number: u64,
    conn: Conn,
    params: SessionParams,
    /// Numbers of the statements that are prepared on the connection.
    names: FastSet<u64>,
    scan: LineScan,
    /// Whether the member last reported an open or failed transaction.
    in_transaction: bool,
    /// Whether the connection has session values that are no longer recorded.
    must_reset: bool,
    /// `None` if the connection belongs to no organisation.
    pub(super) organisation: Option<OrganisationConn>,
}

/// A member's answer to one statement.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) rows: Vec<String>,
    /// The member's signature on success, otherwise the error code and text.
    pub(crate) result: Result<String, (Code, String)>,
    pub(crate) state: TransactionState,
    pub(crate) position: Option<Position>,
}

/// Why a connection cannot be opened or used.
#[derive(Debug, Snafu)]
pub(crate) enum MemberError {
    #[snafu(display("the connection broke: {source}"))]
    Broken { source: WireError },
    #[snafu(display("no answer within the limit"))]
    Silent,
    /// The member works; this daemon has no memory for its answer.
    #[snafu(display("no memory for the answer"))]
    NoMemory,
    #[snafu(display("refused with {code}: {text}"))]
    Refused { code: Code, text: String },
}

/// Session state that a connection must have before a statement runs on it.
#[derive(Debug)]
pub(crate) struct SessionSetup<'a> {
    pub(crate) params: &'a SessionParams,
    /// The prepared statement that will be executed, with its number.
    pub(crate) prepared: Option<(u64, &'a PreparedStatement)>,
    /// The statement that begins a transaction, and the position that the member's log
    /// must have reached.
    pub(crate) begin: Option<(&'static str, Option<Position>)>,
}

impl MemberConn {
    /// Opens a connection to a member of a group; the server refuses it if it is not that
    /// member. Also returns the member's position if the server reports it.
    pub(crate) async fn open(
        number: u64,
        addr: SocketAddr,
        group: &str,
        client: &str,
        member: &MemberId,
    ) -> Result<(MemberConn, Option<Position>), MemberError> {
        let mut buf = BytesMut::new();
        write::startup(&mut buf, group, client, member.as_str());
        MemberConn::open_with(number, addr, &buf).await
    }

    /// Opens a session at a carrier for a caller with this API key.
    pub(crate) async fn open_relayed(
        number: u64,
        addr: SocketAddr,
        database: &str,
        key: &ApiKey,
    ) -> Result<(MemberConn, Option<Position>), MemberError> {
        let mut buf = BytesMut::new();
        let key = if key.expose().is_empty() { NO_KEY } else { key.expose() };
        write::relayed_startup(&mut buf, database, key);
        MemberConn::open_with(number, addr, &buf).await
    }

    async fn open_with(
        number: u64,
        addr: SocketAddr,
        startup: &[u8],
    ) -> Result<(MemberConn, Option<Position>), MemberError> {
        let open = async {
            let mut conn = Conn::new(TcpStream::connect_addr(addr).await.map_err(broken)?);
            conn.queue_bytes(startup);
            conn.flush().await.map_err(broken)?;
            let mut opened = MemberConn {
                number,
                conn,
                params: SessionParams::new(),
                names: FastSet::default(),
                scan: LineScan::default(),
                in_transaction: false,
                must_reset: false,
                organisation: None,
            };
            match opened.message(AnswerMemory::Own, 0).await? {
                MemberMsg::Ready { position, .. } => Ok((opened, position)),
                MemberMsg::Error { code, text } => Err(MemberError::Refused { code, text }),
                _ => Err(unexpected()),
            }
        };
        time::timeout(OPEN_TIMEOUT, open).await.unwrap_or(Err(MemberError::Silent))
    }

    /// Whether the member has closed an idle connection or sent unsolicited data on it.
    pub(crate) fn is_stale(&mut self) -> bool {
        use futures_util::FutureExt;
        self.conn.fill().now_or_never().is_some() || self.conn.buffered() > 0
    }

    /// Sets the session's parameters, prepares the statement and begins the transaction, as
    /// far as the connection lacks them. If it fails, no statement of the caller has been
    /// sent.
    pub(crate) async fn set_up(&mut self, setup: &SessionSetup<'_>) -> Result<(), MemberError> {
        let buf = self.conn.write_buffer();
        let mut queued = 0;
        let mut queue = |text: &str, after| {
            write::query(buf, own::STATEMENT_ID, after, text);
            queued += 1;
        };
        let leftover = self.params.keys().any(|name| !setup.params.contains_key(name));
        let must_reset = leftover || self.must_reset || self.names.len() > MAX_PREPARED;
        // In a transaction, the connection is the session's own, and a reset would roll it back.
        if must_reset && !self.in_transaction {
            queue(own::RESET, None);
            self.must_reset = false;
            self.params.clear();
            self.names.clear();
        }
        for (name, value) in setup.params {
            if self.params.get(name) != Some(value) {
                queue(&own::set(name, value), None);
                self.params.insert(name.clone(), value.clone());
            }
        }
        if let Some((number, prepared)) = setup.prepared
            && self.names.insert(number)
        {
            queue(&own::prepare(&statement_name(number), prepared), None);
        }
        if let Some((text, after)) = setup.begin {
            queue(text, after);
        }
        if queued == 0 {
            return Ok(());
        }
        let run = async {
            self.conn.flush().await.map_err(broken)?;
            for _ in 0..queued {
                let answer = self.read_answer(AnswerMemory::Own).await?;
                if let Err((code, text)) = answer.result {
                    return Err(MemberError::Refused { code, text });
                }
            }
            Ok(())
        };
        time::timeout(SETUP_TIMEOUT, run).await.unwrap_or(Err(MemberError::Silent))
    }

    /// Whether so many statements are prepared on the connection that it is to be reset or
    /// replaced.
    pub(crate) fn is_crowded(&self) -> bool {
        self.names.len() > MAX_PREPARED
    }

    /// Drops the record of large session values, which idle connections would hold otherwise. The
    /// connection is reset before its next use.
    pub(crate) fn drop_large_values(&mut self) {
        let bytes: usize = self.params.iter().map(|(name, value)| name.len() + value.len()).sum();
        if bytes > MAX_RECORDED_BYTES {
            self.params = SessionParams::new();
            self.must_reset = true;
        }
    }

    /// Clears the record of prepared statements, after the member reported one as unknown.
    pub(crate) fn clear_prepared(&mut self) {
        self.names.clear();
    }

    /// Sends a statement. With `after`, the member runs it only if its log has reached that
    /// position.
    pub(crate) async fn send(
        &mut self,
        id: &str,
        after: Option<Position>,
        text: &str,
    ) -> Result<(), MemberError> {
        let buf = self.conn.write_buffer();
        buf.reserve(id.len() + text.len() + 48);
        write::query(buf, id, after, text);
        self.conn.flush().await.map_err(broken)
    }

    /// Asks a carrier to check the API key of the session, and returns its answer.
    pub(crate) async fn check_key(&mut self) -> Result<Answer, MemberError> {
        let run = async {
            self.send(own::STATEMENT_ID, None, own::CHECK_KEY).await?;
            self.read_answer(AnswerMemory::Own).await
        };
        time::timeout(SETUP_TIMEOUT, run).await.unwrap_or(Err(MemberError::Silent))
    }

    /// Rolls back the transaction. Returns whether the connection is outside a transaction
    /// afterwards.
    pub(crate) async fn roll_back(&mut self) -> bool {
        let run = async {
            self.send(own::STATEMENT_ID, None, own::ROLLBACK).await?;
            self.read_answer(AnswerMemory::Own).await
        };
        match time::timeout(SETUP_TIMEOUT, run).await {
            Ok(Ok(answer)) => answer.state == TransactionState::Idle,
            _ => false,
        }
    }

    /// Reads the complete answer to one statement.
    pub(crate) async fn read_answer(
        &mut self,
        memory: AnswerMemory<'_>,
    ) -> Result<Answer, MemberError> {
        let (mut rows, mut row_bytes) = (Vec::new(), 0);
        let mut result = None;
        loop {
            match self.message(memory, row_bytes).await? {
                MemberMsg::Row { data } if memory.keeps_rows() => {
                    row_bytes += (data.len() + size_of::<String>()) as u64;
                    rows.push(data);
                }
                MemberMsg::Row { .. } => {}
                MemberMsg::Complete { signature } => result = Some(Ok(signature)),
                MemberMsg::Error { code, text } => result = Some(Err((code, text))),
                MemberMsg::Ready { state, position } => {
                    self.in_transaction = state != TransactionState::Idle;
                    let result = result.ok_or_else(unexpected)?;
                    return Ok(Answer { rows, result, state, position });
                }
            }
        }
    }

    /// Reads the next message of an answer of which this many bytes are kept.
    async fn message(
        &mut self,
        memory: AnswerMemory<'_>,
        kept: u64,
    ) -> Result<MemberMsg, MemberError> {
        loop {
            let buf = self.conn.read_buffer();
            if self.scan.is_complete(buf)
                && let Some(msg) =
                    MemberMsg::take(buf).map_err(|error| protocol(&error.to_string()))?
            {
                return Ok(msg);
            }
            if !memory.admit(kept + self.conn.buffered() as u64).await {
                return Err(MemberError::NoMemory);
            }
            self.conn.fill().await.map_err(|source| MemberError::Broken { source })?;
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

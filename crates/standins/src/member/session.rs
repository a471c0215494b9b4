use std::time::{Duration, Instant};

use base::{FastMap, Term};
use futures_channel::oneshot;
use rusqlite::{Connection, types::Value};
use wire::{
    Bind, BindComplete, Close, CloseComplete, Conn, Describe, EmptyQueryResponse, Execute, Frame,
    NoData, ParameterDescription, Parse, ParseComplete, Query, ReadyForQuery, TransactionStatus,
    WireError, sqlstate, tags,
};

use crate::member::{
    engine,
    error::SqlError,
    extended_query::{ExtendedQueryState, Portal},
    group::Group,
    log_entry::LoggedStatement,
    response::{self, Columns},
    rows,
    statement::{self, Kind, Statement},
    transaction::Transaction,
    values,
};

/// Parameter that a `ParameterStatus` reports: position of the session's last commit.
pub(crate) const POSITION_PARAMETER: &str = "group.position";
/// Setting: term in which the session expects the member. Statements fail in any other term.
pub(crate) const TERM_SETTING: &str = "group.term";

pub(crate) const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Queued bytes from which a result is sent before it is complete, so that its size in memory
/// stays limited.
pub(crate) const FLUSH_ABOVE_BYTES: usize = 64 * 1024;
/// Interval of checks for a lock of the engine, and for the end of the fault `paused`.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time after which a statement that waits for a lock of the engine fails.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// A client's session with a member.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) group: Group,
    /// Index of the member in the group.
    pub(crate) index: usize,
    pub(crate) conn: Conn,
    pub(crate) db: Connection,
    /// Generation of the engine that `db` belongs to.
    pub(crate) generation: u64,
    pub(crate) pid: i32,
    /// Term in which the session expects the member; `None` accepts every term.
    pub(crate) term: Option<Term>,
    pub(crate) settings: FastMap<String, String>,
    pub(crate) prepared: ExtendedQueryState,
    pub(crate) transaction: Option<Transaction>,
    /// Whether messages are ignored up to the next sync message, after an error.
    pub(crate) skip_to_sync: bool,
    /// Whether to close the connection without a reply, by the fault `lose_answer`.
    pub(crate) close_unanswered: bool,
    /// Whether the fault `paused` does not stop the session, because it sets faults itself.
    pub(crate) ignores_faults: bool,
}

impl Session {
    pub(crate) fn new(
        group: Group,
        index: usize,
        conn: Conn,
        pid: i32,
        term: Option<Term>,
    ) -> Session {
        let (db, generation) = {
            let node = group.node(index).borrow();
            (node.engine.connection(), node.engine.generation())
        };
        Session {
            group,
            index,
            conn,
            db,
            generation,
            pid,
            term,
            settings: FastMap::default(),
            prepared: ExtendedQueryState::default(),
            transaction: None,
            skip_to_sync: false,
            close_unanswered: false,
            ignores_faults: false,
        }
    }

    /// Sets whether the session ignores the fault `paused`.
    pub(crate) fn with_ignored_faults(mut self, ignores_faults: bool) -> Session {
        self.ignores_faults = ignores_faults;
        self
    }

    /// Serves requests until the client terminates the session or the fault `lose_answer` closes it.
    pub(crate) async fn run(mut self) -> Result<(), WireError> {
        loop {
            let frame = self.conn.read_frame(MAX_FRAME_BYTES).await?;
            if frame.tag == tags::TERMINATE {
                return Ok(());
            }
            self.wait_while_paused().await;
            if self.is_down() {
                return Ok(());
            }
            self.message(frame).await?;
            if self.close_unanswered || self.is_down() {
                return Ok(());
            }
            self.wait_until_closed_if_down().await;
            if self.conn.queued() > 0 && self.conn.buffered() == 0 {
                self.conn.flush().await?;
            }
        }
    }

    async fn message(&mut self, frame: Frame) -> Result<(), WireError> {
        if frame.tag == tags::QUERY {
            let query: Query = wire::decode(&frame)?;
            let result = self.simple_query(&query.query).await?;
            return self.finish_request(result).await;
        }
        if frame.tag == tags::SYNC {
            let failed = self.skip_to_sync;
            self.skip_to_sync = false;
            let result = if failed { Ok(()) } else { self.commit_implicit().await };
            return self.finish_request(result).await;
        }
        if self.skip_to_sync {
            return Ok(());
        }
        if let Err(error) = self.extended_message(frame).await? {
            self.queue_error(&error);
            self.skip_to_sync = true;
        }
        Ok(())
    }

    async fn extended_message(&mut self, frame: Frame) -> Result<Result<(), SqlError>, WireError> {
        let result = match frame.tag {
            tags::PARSE => {
                let msg: Parse = wire::decode(&frame)?;
                let result = self.prepared.parse(msg);
                self.queue_if_ok(result, ParseComplete::new())
            }
            tags::BIND => {
                let msg: Bind = wire::decode(&frame)?;
                let result = self.prepared.bind(&msg);
                self.queue_if_ok(result, BindComplete::new())
            }
            tags::DESCRIBE => {
                let msg: Describe = wire::decode(&frame)?;
                self.describe(&msg)
            }
            tags::EXECUTE => {
                let msg: Execute = wire::decode(&frame)?;
                return self.execute(&msg).await;
            }
            tags::CLOSE => {
                let msg: Close = wire::decode(&frame)?;
                let name = msg.name.unwrap_or_default();
                match msg.target_type {
                    b'S' => self.prepared.close_statement(&name),
                    _ => self.prepared.close_portal(&name),
                }
                self.queue_if_ok(Ok(()), CloseComplete::new())
            }
            tags::FLUSH => {
                self.conn.flush().await?;
                Ok(())
            }
            _ => Ok(()),
        };
        Ok(result)
    }

    fn queue_if_ok(
        &mut self,
        result: Result<(), SqlError>,
        msg: impl wire::Message,
    ) -> Result<(), SqlError> {
        result?;
        self.conn.queue(&msg);
        Ok(())
    }

    fn describe(&mut self, msg: &Describe) -> Result<(), SqlError> {
        let name = msg.name.clone().unwrap_or_default();
        self.refresh_connection();
        let (statement, formats) = if msg.target_type == b'S' {
            let prepared = self.prepared.statement(&name)?.clone();
            let count = self.parameter_count(prepared.statement.as_ref())?;
            let oids = (0..count).map(|index| match prepared.oids.get(index) {
                None | Some(0) => values::oid::TEXT,
                Some(&oid) => oid,
            });
            self.conn.queue(&ParameterDescription::new(oids.collect()));
            (prepared.statement, Vec::new())
        } else {
            let portal = self.prepared.portal(&name)?.clone();
            (portal.statement, portal.formats)
        };
        match self.columns(statement.as_ref())? {
            Some(columns) => self.conn.queue(&columns.description(&formats)),
            None => self.conn.queue(&NoData::new()),
        }
        Ok(())
    }

    fn parameter_count(&self, statement: Option<&Statement>) -> Result<usize, SqlError> {
        let Some(Statement { sql, kind: Kind::Engine, .. }) = statement else { return Ok(0) };
        Ok(self.db.prepare(sql)?.parameter_count())
    }

    fn columns(&self, statement: Option<&Statement>) -> Result<Option<Columns>, SqlError> {
        let Some(statement) = statement else { return Ok(None) };
        match &statement.kind {
            Kind::Engine => {
                let prepared = self.db.prepare(&statement.sql)?;
                let columns = Columns::from_statement(&prepared);
                Ok((!columns.names.is_empty()).then_some(columns))
            }
            Kind::Show(name) => Ok(Some(Columns::text(&[name]))),
            _ => Ok(None),
        }
    }

    async fn execute(&mut self, msg: &Execute) -> Result<Result<(), SqlError>, WireError> {
        let name = msg.name.clone().unwrap_or_default();
        let portal = match self.prepared.portal(&name) {
            Ok(portal) => portal.clone(),
            Err(error) => return Ok(Err(error)),
        };
        let Portal { statement: Some(statement), params, formats } = portal else {
            self.conn.queue(&EmptyQueryResponse::new());
            return Ok(Ok(()));
        };
        self.run_statement(&statement, &params, Some(&formats)).await
    }

    async fn simple_query(&mut self, text: &str) -> Result<Result<(), SqlError>, WireError> {
        let statements = match statement::split(text) {
            Ok(statements) => statements,
            Err(error) => return Ok(Err(error)),
        };
        if statements.is_empty() {
            self.conn.queue(&EmptyQueryResponse::new());
        }
        for statement in &statements {
            if let Err(error) = self.run_statement(statement, &[], None).await? {
                return Ok(Err(error));
            }
        }
        Ok(self.commit_implicit().await)
    }

    async fn finish_request(&mut self, result: Result<(), SqlError>) -> Result<(), WireError> {
        if let Err(error) = result {
            self.queue_error(&error);
        }
        if self.transaction.as_ref().is_some_and(|transaction| !transaction.explicit) {
            self.rollback();
        }
        let status = match &self.transaction {
            None => TransactionStatus::Idle,
            Some(transaction) if transaction.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        };
        let late = self.group.node(self.index).borrow().faults.reply_delay;
        if !late.is_zero() {
            monoio::time::sleep(late).await;
        }
        self.conn.queue(&ReadyForQuery::new(status));
        Ok(())
    }

    fn queue_error(&mut self, error: &SqlError) {
        self.conn.queue(&wire::error_response(error.code, &error.message, &error.detail));
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
    }

    async fn run_statement(
        &mut self,
        statement: &Statement,
        params: &[Value],
        formats: Option<&[i16]>,
    ) -> Result<Result<(), SqlError>, WireError> {
        if let Kind::Control(call) = &statement.kind {
            return Ok(self.control(call));
        }
        let failed = self.transaction.as_ref().is_some_and(|transaction| transaction.failed);
        if failed && !matches!(statement.kind, Kind::Commit | Kind::Rollback) {
            let message = "current transaction is aborted, commands ignored until its end";
            return Ok(Err(SqlError::new(sqlstate::IN_FAILED_TRANSACTION, message)));
        }
        let result = match &statement.kind {
            Kind::Begin => self.begin().map(|()| "BEGIN".to_owned()),
            Kind::Commit => match self.commit().await {
                Ok(true) => Ok("COMMIT".to_owned()),
                Ok(false) => Ok("ROLLBACK".to_owned()),
                Err(error) => Err(error),
            },
            Kind::Rollback => {
                self.rollback();
                Ok("ROLLBACK".to_owned())
            }
            Kind::Set(change) => self.set(change),
            Kind::Show(name) => {
                self.show(name, formats.is_none());
                Ok("SHOW".to_owned())
            }
            Kind::CopyIn { table, columns } => return self.copy_in(table, columns).await,
            Kind::CopyOut { query } => return self.copy_out(query).await,
            Kind::Engine => return self.run_in_engine(statement, params, formats).await,
            Kind::Control(_) => return Ok(Ok(())),
        };
        Ok(result.map(|tag| response::queue_complete(&mut self.conn, &tag)))
    }

    /// Connects to the member's current database if it was rebuilt, unless a transaction is open.
    pub(crate) fn refresh_connection(&mut self) {
        let node = self.group.node(self.index).borrow();
        if self.transaction.is_none() && node.engine.generation() != self.generation {
            self.generation = node.engine.generation();
            self.db = node.engine.connection();
        }
    }

    /// Runs a statement in the engine and sends its result.
    async fn run_in_engine(
        &mut self,
        statement: &Statement,
        params: &[Value],
        formats: Option<&[i16]>,
    ) -> Result<Result<(), SqlError>, WireError> {
        let slots = self.group.node(self.index).borrow().slots.clone();
        let _slot = slots.acquire().await;
        self.group.node(self.index).borrow_mut().statements += 1;
        if let Err(error) = self.wait_service_time(statement).await {
            return Ok(Err(error));
        }
        if let Err(error) = self.ensure_transaction(&statement.sql).await {
            return Ok(Err(error));
        }
        let writes = self.writes(&statement.sql);
        let result = rows::run(&self.db, &mut self.conn, &statement.sql, params, formats).await?;
        if let (Ok(()), true, Some(transaction)) = (&result, writes, &mut self.transaction) {
            let logged = LoggedStatement { sql: statement.sql.clone(), params: params.to_vec() };
            transaction.logged.push(logged);
        }
        Ok(result)
    }

    /// Waits for the service time of a statement, in which a cancel request can end it.
    async fn wait_service_time(&mut self, statement: &Statement) -> Result<(), SqlError> {
        self.check_term()?;
        let min = self.group.node(self.index).borrow().faults.service;
        let service = statement.service.unwrap_or(min);
        if service.is_zero() {
            return Ok(());
        }
        let (tx, rx) = oneshot::channel();
        self.group.node(self.index).borrow_mut().cancel_senders.insert(self.pid, tx);
        let cancelled = monoio::time::timeout(service, rx).await;
        self.group.node(self.index).borrow_mut().cancel_senders.remove(&self.pid);
        match cancelled {
            Ok(_) => {
                let message = "canceling statement due to user request";
                Err(SqlError::new(sqlstate::QUERY_CANCELED, message))
            }
            Err(_) => self.check_term(),
        }
    }

    fn writes(&self, sql: &str) -> bool {
        self.db.prepare_cached(sql).is_ok_and(|prepared| !prepared.readonly())
    }

    /// Opens a transaction unless one is open, and acquires the member's write permit if the
    /// statement writes. Retries while the engine is locked.
    pub(crate) async fn ensure_transaction(&mut self, sql: &str) -> Result<(), SqlError> {
        if self.transaction.is_none() {
            let transaction = self.new_transaction();
            self.transaction = Some(transaction);
        }
        let started = Instant::now();
        loop {
            match self.try_ensure_transaction(sql).await {
                Err(BeginError::Busy) if started.elapsed() < LOCK_TIMEOUT => {
                    monoio::time::sleep(POLL_INTERVAL).await;
                }
                Err(BeginError::Busy) => return Err(SqlError::new("55P03", "lock not available")),
                Err(BeginError::Sql(error)) => return Err(error),
                Ok(()) => return Ok(()),
            }
        }
    }

    async fn try_ensure_transaction(&mut self, sql: &str) -> Result<(), BeginError> {
        let writes = match self.db.prepare_cached(sql) {
            Ok(prepared) => !prepared.readonly(),
            Err(error) => return Err(BeginError::from(error)),
        };
        if writes && !self.group.node(self.index).borrow().primary {
            let message = "cannot write on a replica";
            return Err(BeginError::Sql(SqlError::new(sqlstate::READ_ONLY, message)));
        }
        let needs_permit = self.transaction.as_ref().is_some_and(|it| it.writer.is_none());
        if writes && needs_permit {
            let writer = self.group.node(self.index).borrow().writer.clone();
            let permit = writer.acquire().await;
            if let Some(transaction) = &mut self.transaction {
                transaction.writer = Some(permit);
            }
        }
        let Some(transaction) = &mut self.transaction else { return Ok(()) };
        if !transaction.begun {
            let begin = if writes { "BEGIN IMMEDIATE" } else { "BEGIN" };
            self.db.execute_batch(begin).map_err(BeginError::from)?;
            transaction.begun = true;
        }
        Ok(())
    }

    /// Whether the fault `down` ends this session.
    pub(crate) fn is_down(&self) -> bool {
        !self.ignores_faults && self.group.node(self.index).borrow().faults.down
    }

    /// In a session that sets faults: waits until the fault `down` has closed the callers'
    /// connections, so that a request sent after the fault was set finds none of them open.
    async fn wait_until_closed_if_down(&self) {
        let closing = || {
            let node = self.group.node(self.index).borrow();
            node.faults.down && node.connections > 0
        };
        while self.ignores_faults && closing() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_while_paused(&self) {
        while !self.ignores_faults && self.group.node(self.index).borrow().faults.paused {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

enum BeginError {
    /// Another connection's transaction holds a lock of the engine.
    Busy,
    Sql(SqlError),
}

impl From<rusqlite::Error> for BeginError {
    fn from(error: rusqlite::Error) -> BeginError {
        if engine::is_busy(&error) { BeginError::Busy } else { BeginError::Sql(error.into()) }
    }
}

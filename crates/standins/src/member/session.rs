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
    answer::{self, Columns},
    bind::{Portal, Prepared},
    engine,
    entry::Logged,
    error::SqlError,
    group::Group,
    rows,
    statement::{self, Kind, Statement},
    transaction::Transaction,
    values,
};

/// Reported parameter: position of the session's last commit.
pub(crate) const POSITION_PARAMETER: &str = "group.position";
/// Setting: term under which the session's statements go out.
pub(crate) const TERM_SETTING: &str = "group.term";

pub(crate) const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
pub(crate) const FLUSH_ABOVE_BYTES: usize = 64 * 1024;
const BUSY_PAUSE: Duration = Duration::from_millis(1);
const BUSY_LIMIT: Duration = Duration::from_secs(5);

/// One connection's session with a member.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) group: Group,
    pub(crate) index: usize,
    pub(crate) conn: Conn,
    pub(crate) db: Connection,
    pub(crate) generation: u64,
    pub(crate) pid: i32,
    pub(crate) term: Option<Term>,
    pub(crate) settings: FastMap<String, String>,
    pub(crate) prepared: Prepared,
    pub(crate) transaction: Option<Transaction>,
    pub(crate) skip_to_sync: bool,
    pub(crate) close_after: bool,
    pub(crate) immune: bool,
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
            prepared: Prepared::default(),
            transaction: None,
            skip_to_sync: false,
            close_after: false,
            immune: false,
        }
    }

    /// A session that sets faults and is not touched by them.
    pub(crate) fn with_immunity(mut self, immune: bool) -> Session {
        self.immune = immune;
        self
    }

    /// Serves requests until the other side leaves or a fault closes it.
    pub(crate) async fn run(mut self) -> Result<(), WireError> {
        loop {
            let frame = self.conn.read_frame(MAX_FRAME_BYTES).await?;
            if frame.tag == tags::TERMINATE {
                return Ok(());
            }
            self.unpaused().await;
            self.message(frame).await?;
            if self.close_after {
                return Ok(());
            }
            if self.conn.queued() > 0 && self.conn.buffered() == 0 {
                self.conn.flush().await?;
            }
        }
    }

    async fn message(&mut self, frame: Frame) -> Result<(), WireError> {
        if frame.tag == tags::QUERY {
            let query: Query = wire::decode(&frame)?;
            let result = self.simple(&query.query).await?;
            return self.end_request(result).await;
        }
        if frame.tag == tags::SYNC {
            let failed = self.skip_to_sync;
            self.skip_to_sync = false;
            let result = if failed { Ok(()) } else { self.commit_implicit().await };
            return self.end_request(result).await;
        }
        if self.skip_to_sync {
            return Ok(());
        }
        if let Err(error) = self.extended(frame).await? {
            self.fail(&error);
            self.skip_to_sync = true;
        }
        Ok(())
    }

    async fn extended(&mut self, frame: Frame) -> Result<Result<(), SqlError>, WireError> {
        let result = match frame.tag {
            tags::PARSE => {
                let msg: Parse = wire::decode(&frame)?;
                let result = self.prepared.parse(msg);
                self.confirm(result, ParseComplete::new())
            }
            tags::BIND => {
                let msg: Bind = wire::decode(&frame)?;
                let result = self.prepared.bind(&msg);
                self.confirm(result, BindComplete::new())
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
                self.confirm(Ok(()), CloseComplete::new())
            }
            tags::FLUSH => {
                self.conn.flush().await?;
                Ok(())
            }
            _ => Ok(()),
        };
        Ok(result)
    }

    fn confirm(
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
        self.reopen();
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
                let columns = Columns::of(&prepared);
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
        self.statement(&statement, &params, Some(&formats)).await
    }

    async fn simple(&mut self, text: &str) -> Result<Result<(), SqlError>, WireError> {
        let statements = match statement::split(text) {
            Ok(statements) => statements,
            Err(error) => return Ok(Err(error)),
        };
        if statements.is_empty() {
            self.conn.queue(&EmptyQueryResponse::new());
        }
        for statement in &statements {
            if let Err(error) = self.statement(statement, &[], None).await? {
                return Ok(Err(error));
            }
        }
        Ok(self.commit_implicit().await)
    }

    async fn end_request(&mut self, result: Result<(), SqlError>) -> Result<(), WireError> {
        if let Err(error) = result {
            self.fail(&error);
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

    fn fail(&mut self, error: &SqlError) {
        self.conn.queue(&wire::error_response(error.code, &error.message, &error.detail));
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
    }

    async fn statement(
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
        let done = match &statement.kind {
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
            Kind::Engine => return self.engine(statement, params, formats).await,
            Kind::Control(_) => return Ok(Ok(())),
        };
        Ok(done.map(|tag| answer::queue_complete(&mut self.conn, &tag)))
    }

    /// Opens the database anew if the member had to rebuild it.
    pub(crate) fn reopen(&mut self) {
        let node = self.group.node(self.index).borrow();
        if self.transaction.is_none() && node.engine.generation() != self.generation {
            self.generation = node.engine.generation();
            self.db = node.engine.connection();
        }
    }

    /// Runs a statement in the engine and sends its answer.
    async fn engine(
        &mut self,
        statement: &Statement,
        params: &[Value],
        formats: Option<&[i16]>,
    ) -> Result<Result<(), SqlError>, WireError> {
        let gate = self.group.node(self.index).borrow().slots.clone();
        let _slot = gate.enter().await;
        self.group.node(self.index).borrow_mut().statements += 1;
        if let Err(error) = self.serve_time(statement).await {
            return Ok(Err(error));
        }
        if let Err(error) = self.prepare_transaction(&statement.sql).await {
            return Ok(Err(error));
        }
        let writes = self.writes(&statement.sql);
        let result = rows::run(&self.db, &mut self.conn, &statement.sql, params, formats).await?;
        if let (Ok(()), true, Some(transaction)) = (&result, writes, &mut self.transaction) {
            let logged = Logged { sql: statement.sql.clone(), params: params.to_vec() };
            transaction.logged.push(logged);
        }
        Ok(result)
    }

    async fn serve_time(&mut self, statement: &Statement) -> Result<(), SqlError> {
        self.check_term()?;
        let least = self.group.node(self.index).borrow().faults.service;
        let service = statement.service.unwrap_or(least);
        if service.is_zero() {
            return Ok(());
        }
        let (tx, rx) = oneshot::channel();
        self.group.node(self.index).borrow_mut().cancels.insert(self.pid, tx);
        let cancelled = monoio::time::timeout(service, rx).await;
        self.group.node(self.index).borrow_mut().cancels.remove(&self.pid);
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

    /// Makes sure that a transaction is open, with the right to write if the
    /// statement needs it.
    pub(crate) async fn prepare_transaction(&mut self, sql: &str) -> Result<(), SqlError> {
        if self.transaction.is_none() {
            let transaction = self.new_transaction();
            self.transaction = Some(transaction);
        }
        let started = Instant::now();
        loop {
            match self.try_prepare(sql).await {
                Err(Busy::Wait) if started.elapsed() < BUSY_LIMIT => {
                    monoio::time::sleep(BUSY_PAUSE).await;
                }
                Err(Busy::Wait) => return Err(SqlError::new("55P03", "lock not available")),
                Err(Busy::Error(error)) => return Err(error),
                Ok(()) => return Ok(()),
            }
        }
    }

    async fn try_prepare(&mut self, sql: &str) -> Result<(), Busy> {
        let writes = match self.db.prepare_cached(sql) {
            Ok(prepared) => !prepared.readonly(),
            Err(error) => return Err(Busy::from(error)),
        };
        if writes && !self.group.node(self.index).borrow().primary {
            let message = "cannot write on a replica";
            return Err(Busy::Error(SqlError::new(sqlstate::READ_ONLY, message)));
        }
        let needs_pass = self.transaction.as_ref().is_some_and(|it| it.writer.is_none());
        if writes && needs_pass {
            let gate = self.group.node(self.index).borrow().writer.clone();
            let pass = gate.enter().await;
            if let Some(transaction) = &mut self.transaction {
                transaction.writer = Some(pass);
            }
        }
        let Some(transaction) = &mut self.transaction else { return Ok(()) };
        if !transaction.begun {
            let begin = if writes { "BEGIN IMMEDIATE" } else { "BEGIN" };
            self.db.execute_batch(begin).map_err(Busy::from)?;
            transaction.begun = true;
        }
        Ok(())
    }

    async fn unpaused(&self) {
        while !self.immune && self.group.node(self.index).borrow().faults.paused {
            monoio::time::sleep(BUSY_PAUSE).await;
        }
    }
}

enum Busy {
    Wait,
    Error(SqlError),
}

impl From<rusqlite::Error> for Busy {
    fn from(error: rusqlite::Error) -> Busy {
        if engine::is_busy(&error) { Busy::Wait } else { Busy::Error(error.into()) }
    }
}

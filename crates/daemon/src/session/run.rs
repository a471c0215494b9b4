use std::time::Duration;

use admission::RetryBudget;
use futures_channel::mpsc;
use futures_util::{FutureExt, future, future::Either};
use sql::{SettingChange, Statement};
use wire::{
    Authentication, BackendKeyData, Conn, ParameterStatus, ReadyForQuery, SecretKey, Startup,
    TransactionStatus, WireError, sqlstate,
};

use crate::{
    group::{HeldConn, RequestUpdate},
    session::{
        account::Account,
        cancel_registry::CancelTargetCell,
        context::Context,
        forward::PEER_SECRET_PARAMETER,
        listener::Origin,
        local,
        plan::Plan,
        profile::{Profile, TOKEN_SETTING},
        request::{self, Request},
        statements::Statements,
    },
};

/// Text of the error for a request that found no memory in time.
const NO_MEMORY: &str = "this daemon has no memory for a request of this size at present";
/// Text of the error for a statement that exceeds what a session may hold.
const STORED_TOO_MUCH: &str = "the session holds too many prepared statements and portals";
/// Detail of the errors for requests that have not run.
const NOT_RUN: &str = "Not run.";
/// Limit on the wait for the client to close its end after a shutdown message.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Retries that one session may cause in a burst.
const CALLER_RETRY_BURST: u32 = 20;
/// Start of a statement that sets the metadata of a forwarded request.
const FORWARD_PREFIX: &str = "SET corianderwharf.forward";
/// Parameters and values reported to every caller at start-up.
const REPORTED_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// The session of a caller, or of another daemon that forwards requests.
pub(crate) struct Session {
    pub(crate) cx: Context,
    pub(crate) conn: Conn,
    pub(crate) profile: Profile,
    pub(crate) statements: Statements,
    pub(crate) updates: mpsc::UnboundedReceiver<RequestUpdate>,
    pub(crate) updates_tx: mpsc::UnboundedSender<RequestUpdate>,
    pub(crate) target: CancelTargetCell,
    /// Connection kept between requests, for an open transaction or session state.
    pub(crate) held: Option<HeldConn>,
    /// Whether session state requires that the connection be kept.
    pub(crate) pinned: bool,
    /// The open transaction's connection was lost; only a commit or rollback is
    /// accepted.
    pub(crate) transaction_lost: bool,
    /// An extended-protocol request failed; messages up to its Sync are skipped.
    pub(crate) skip_to_sync: bool,
    /// Settings from before the open transaction, restored if it is rolled back;
    /// `None` outside a transaction.
    pub(crate) settings_at_begin: Option<std::collections::BTreeMap<String, String>>,
    pub(crate) origin: Origin,
    /// Limits the retries that this session's requests cause.
    pub(crate) retry_budget: RetryBudget,
    pub(crate) account: Account,
    pid: i32,
}

impl Session {
    /// Serves a session from its start-up message to its end.
    pub(crate) async fn serve(
        cx: Context,
        mut conn: Conn,
        startup: Startup,
        origin: Origin,
        account: Account,
    ) -> Result<(), WireError> {
        let profile = match build_profile(&cx, &startup, origin) {
            Ok(profile) => profile,
            Err((code, message)) => {
                conn.queue(&wire::error_response(code, &message, "Not run."));
                return account.send(&mut conn).await;
            }
        };
        let (pid, secret) = cx.new_cancel_key();
        queue_startup_response(&mut conn, pid, secret);
        let (updates_tx, updates) = mpsc::unbounded();
        let target = cx.cancel_registry.borrow_mut().insert(pid, secret, updates_tx.clone());
        let mut session = Session {
            cx,
            conn,
            profile,
            statements: Statements::default(),
            updates,
            updates_tx,
            target,
            held: None,
            pinned: false,
            transaction_lost: false,
            skip_to_sync: false,
            settings_at_begin: None,
            origin,
            retry_budget: RetryBudget::new(CALLER_RETRY_BURST),
            account,
            pid,
        };
        session.account.send(&mut session.conn).await?;
        session.run().await
    }

    async fn run(&mut self) -> Result<(), WireError> {
        loop {
            self.account.idle();
            let request = match self.next_request().await {
                Ok(Some(request)) => request,
                Ok(None) => return self.close_for_shutdown().await,
                Err(WireError::Protocol { message }) => {
                    let error = wire::error_response(sqlstate::PROTOCOL_VIOLATION, &message, "");
                    self.conn.queue(&error);
                    return self.account.send(&mut self.conn).await;
                }
                Err(error) => return Err(error),
            };
            match request {
                Request::Terminate => return Ok(()),
                // Boxed, so that the future of an idle session does not include
                // the space that a running request needs.
                request => Box::pin(self.handle_request(request)).await?,
            }
            self.account.send(&mut self.conn).await?;
        }
    }

    /// Waits for the next request; `None` if the daemon is stopping and no
    /// transaction is open.
    async fn next_request(&mut self) -> Result<Option<Request>, WireError> {
        let in_transaction = self.held.is_some() && !self.pinned;
        let limit = self.cx.limits.message_bytes;
        let read = std::pin::pin!(request::read(&mut self.conn, limit, &self.account));
        if in_transaction {
            return read.await.map(Some);
        }
        match future::select(read, self.cx.stopping.clone()).await {
            Either::Left((request, _)) => request.map(Some),
            Either::Right((_, read)) => match read.now_or_never() {
                Some(request) => request.map(Some),
                None => Ok(None),
            },
        }
    }

    async fn handle_request(&mut self, request: Request) -> Result<(), WireError> {
        self.account.running(request.held_bytes());
        match request {
            Request::Refused { synced } if self.skip_to_sync => {
                let _ = synced;
                Ok(())
            }
            Request::Refused { synced } => {
                self.fail(sqlstate::TOO_MANY_CONNECTIONS, NO_MEMORY, NOT_RUN, synced)
            }
            Request::Simple(frame) => {
                let query: wire::Query = wire::decode(&frame)?;
                if self.origin == Origin::Daemon && self.apply_forward(&query.query)? {
                    return Ok(());
                }
                let analysis = sql::analyze(&query.query);
                let plan = Plan::simple(&analysis);
                if plan.local && !self.transaction_lost {
                    local::answer_simple(&mut self.conn, &mut self.profile, &analysis);
                    self.ready();
                    return Ok(());
                }
                self.serve_request(&[frame], &plan, true).await
            }
            Request::Extended { frames, synced } if self.skip_to_sync => {
                drop(frames);
                if synced {
                    self.skip_to_sync = false;
                    self.ready();
                }
                Ok(())
            }
            Request::Extended { frames, synced } if !self.may_store(&frames) => {
                if self.account.exceeds_store_refusals() {
                    return Err(WireError::Closed);
                }
                self.fail(sqlstate::TOO_MANY_CONNECTIONS, STORED_TOO_MUCH, NOT_RUN, synced)
            }
            Request::Extended { frames, synced } => {
                let refs = self.statements.record(&frames)?;
                let plan = Plan::extended(&refs, synced);
                if plan.local && !self.transaction_lost {
                    let Session { conn, profile, statements, .. } = self;
                    local::answer_extended(conn, profile, statements, &frames)?;
                    self.ready();
                    return Ok(());
                }
                if refs.referenced.is_empty() && synced && self.held.is_none() {
                    return self.answer_empty(&frames);
                }
                self.serve_request(&frames, &plan, synced).await
            }
            Request::Terminate => Ok(()),
        }
    }

    /// Applies the metadata of the next forwarded request; returns whether the query
    /// carried such metadata.
    fn apply_forward(&mut self, text: &str) -> Result<bool, WireError> {
        let analysis = match text.starts_with(FORWARD_PREFIX) {
            true => sql::analyze(text),
            false => return Ok(false),
        };
        let [Statement::Setting(SettingChange::Set { value, .. })] = analysis.statements.as_slice()
        else {
            return Ok(false);
        };
        let applied = self.profile.apply_forward(value);
        applied.map_err(WireError::protocol)?;
        let group = {
            let directory = self.cx.directory.borrow();
            let table = directory.table();
            table.and_then(|table| table.group(&self.profile.name)).cloned()
        };
        if let Some(group) = group {
            self.profile.group = group;
        }
        self.conn.queue(&wire::CommandComplete::new("SET".to_owned()));
        self.ready();
        Ok(true)
    }

    /// Answers a Sync alone or with Close messages, without an upstream.
    fn answer_empty(&mut self, frames: &[wire::Frame]) -> Result<(), WireError> {
        for frame in frames {
            if frame.tag == wire::tags::CLOSE {
                self.statements.close(&wire::decode(frame)?);
                self.conn.queue(&wire::CloseComplete::new());
            }
        }
        self.ready();
        Ok(())
    }

    /// Whether the session may hold the statements and portals that the messages create, besides
    /// those that it holds.
    fn may_store(&mut self, frames: &[wire::Frame]) -> bool {
        let settings: usize =
            self.profile.settings.iter().map(|(name, value)| name.len() + value.len()).sum();
        // The connection that the session uses holds another copy of the settings.
        let bytes = self.statements.bytes() + Statements::added_bytes(frames) + 2 * settings;
        self.account.store(bytes as u64)
    }

    /// Queues ReadyForQuery with the session's transaction status.
    pub(crate) fn ready(&mut self) {
        let status = if self.transaction_lost {
            TransactionStatus::Error
        } else if self.held.is_some() && !self.pinned {
            TransactionStatus::Transaction
        } else {
            TransactionStatus::Idle
        };
        self.conn.queue(&ReadyForQuery::new(status));
    }

    /// Reports the session's consistency token to the caller.
    pub(crate) fn report_token(&mut self) {
        let token = self.profile.token.to_string();
        self.conn.queue(&ParameterStatus::new(TOKEN_SETTING.to_owned(), token));
    }

    /// Sends a shutdown error and waits for the client to close its end. Closing the
    /// socket while client data is unread could discard the error message.
    async fn close_for_shutdown(&mut self) -> Result<(), WireError> {
        let message = "this daemon is stopping; connect again";
        let detail = "No request was under way. Not run.";
        self.conn.queue(&wire::error_response(sqlstate::ADMIN_SHUTDOWN, message, detail));
        self.conn.flush().await?;
        self.conn.shutdown().await;
        let discard_input = async { while self.conn.fill().await.is_ok() {} };
        let _ = monoio::time::timeout(CLOSE_TIMEOUT, discard_input).await;
        Ok(())
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.cx.cancel_registry.borrow_mut().remove(self.pid);
    }
}

fn build_profile(
    cx: &Context,
    startup: &Startup,
    origin: Origin,
) -> Result<Profile, (&'static str, String)> {
    let secret = startup.parameters.get(PEER_SECRET_PARAMETER);
    if origin == Origin::Daemon && secret.map(String::as_str) != Some(cx.peer_secret.as_ref()) {
        let message = "only daemons of this deployment may connect here".to_owned();
        return Err((sqlstate::INVALID_AUTHORIZATION, message));
    }
    if cx.stopping.clone().now_or_never().is_some() {
        let message = "this daemon is stopping; connect again".to_owned();
        return Err((sqlstate::ADMIN_SHUTDOWN, message));
    }
    let parameters: &std::collections::BTreeMap<String, String> = &startup.parameters;
    let user = parameters.get("user").map(String::as_str).unwrap_or_default();
    let name = parameters.get("database").map_or(user, String::as_str);
    let directory = cx.directory.borrow();
    let Some(table) = directory.table() else {
        let message = "this daemon has not learnt its table yet".to_owned();
        return Err((sqlstate::CANNOT_CONNECT_NOW, message));
    };
    let Some(group) = table.group(name) else {
        if !directory.is_table_recent(cx.clock.now()) {
            let message = format!("cannot tell at present whether {name:?} exists");
            return Err((sqlstate::CANNOT_CONNECT_NOW, message));
        }
        let message = format!("no database group answers to the name {name:?}");
        return Err((sqlstate::INVALID_CATALOG_NAME, message));
    };
    Profile::new(startup, group.clone())
        .map_err(|message| (sqlstate::INVALID_PARAMETER_VALUE, message))
}

fn queue_startup_response(conn: &mut Conn, pid: i32, secret: i32) {
    conn.queue(&Authentication::Ok);
    for (name, value) in REPORTED_PARAMETERS {
        conn.queue(&ParameterStatus::new(name.to_owned(), value.to_owned()));
    }
    conn.queue(&BackendKeyData::new(pid, SecretKey::I32(secret)));
    conn.queue(&ReadyForQuery::new(TransactionStatus::Idle));
}

use std::{cell::RefCell, pin::pin, rc::Rc, sync::Arc, time::Duration};

use accounts::excerpt;
use adapter::{CallerMsg, Code, LineScan, Route, Statement, TransactionState, own, write};
use base::{Position, Span};
use budget::Reason;
use bytes::BytesMut;
use futures_util::{
    FutureExt, future,
    future::{AbortRegistration, Abortable, Either},
};
use monoio::{
    net::{TcpListener, TcpStream},
    time,
};
use organisations::{ApiKey, Organisation};
use wire::{Conn, WireError};

use crate::{
    clock,
    control::Event,
    data::{
        account::Account,
        conn_lease::ConnLease,
        context::Context,
        member_conn::SessionParams,
        prepared_names::{ENTRY_BYTES, PreparedNames},
        relay::Relay,
        session_placement::SessionPlacement,
    },
    messages::Report,
    shared::Counter,
};

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Sessions that are accepted in a row, before the other sessions get their turn.
const ACCEPT_BATCH: u32 = 4;
/// Time limit for a new session's start-up message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a new session waits for the first configuration. Callers give up after two
/// seconds.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a session waits for evidence that its database or API key does not exist. Shorter than a daemon
/// that relays a session waits for its carrier.
pub(super) const DENIAL_TIMEOUT: Span = Span::from_millis(300);
pub(super) const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long an idle session must receive nothing before it is closed. A request may already be
/// under way when the daemon decides to close the session.
const QUIET_PERIOD: Duration = Duration::from_millis(60);
/// How often an idle session checks whether it must move to another daemon.
const EVACUATE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Error text of a statement that would exceed what a session may hold.
const STORED_TOO_MUCH: &str = "too many prepared statements and values";

/// A caller's session.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) cx: Rc<Context>,
    pub(crate) conn: Conn,
    pub(crate) database: String,
    /// The API key that the caller presented.
    pub(crate) key: ApiKey,
    /// The organisation that the key last belonged to, for the log lines after its revocation.
    pub(super) last_identity: RefCell<Option<Arc<Organisation>>>,
    /// Whether another daemon relays this session for one of its callers.
    pub(crate) is_relayed_here: bool,
    /// Whether the session is closed after the current reply.
    pub(crate) is_ending: bool,
    /// Attempts of the current operation that a member may have run.
    pub(crate) runs: u32,
    pub(crate) params: SessionParams,
    pub(crate) names: PreparedNames,
    /// Position of the last acknowledged commit of this session, or of another daemon's session
    /// that is relayed through it.
    pub(crate) last_write: Position,
    pub(crate) tx: Transaction,
    /// Whether the session's statements are relayed through a carrier.
    pub(crate) relayed: bool,
    pub(crate) relay: Relay,
    /// Which carriers are preferred for the session, if its deployment has organisations.
    pub(crate) placement: SessionPlacement,
    /// Whether the session's start-up is over, so that a change of its carrier is a move.
    pub(crate) is_started: bool,
    pub(crate) account: Account,
    pub(crate) scan: LineScan,
    /// Memory that the current message takes; 0 if it is small.
    pub(crate) message_bytes: u64,
    /// Length of the last answer if it was large.
    pub(crate) answer_bytes: u64,
    /// Memory of the session values.
    values_bytes: usize,
}

/// The state of a session's transaction.
#[derive(Debug, Default)]
pub(crate) enum Transaction {
    /// No transaction is open.
    #[default]
    None,
    /// Begun by the caller, but not yet on a member or carrier.
    Pending { read_only: bool },
    /// Open on a member.
    Open(OpenTransaction),
    /// Open on a member, through a carrier.
    Relayed { wrote: bool },
    /// Failed and rolled back; the caller has not ended it yet.
    Failed,
}

/// A transaction that is open on a member.
#[derive(Debug)]
pub(crate) struct OpenTransaction {
    pub(crate) lease: ConnLease,
    /// The route that it began by; a later one applies from the next transaction onward.
    pub(crate) route: Route,
    /// The organisation under whose name the member runs it.
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) read_only: bool,
    pub(crate) wrote: bool,
}

/// Accepts callers until shutdown stops it.
pub(crate) async fn listen(cx: Rc<Context>, listener: TcpListener) {
    let mut stop = cx.stop_accepting.clone();
    let mut accepted = 0;
    loop {
        let accept = pin!(listener.accept());
        match future::select(accept, &mut stop).await {
            Either::Left((Ok((stream, _)), _)) => {
                admit(&cx, stream);
                accepted += 1;
                if accepted % ACCEPT_BATCH == 0 {
                    accounts::yield_now().await;
                }
            }
            Either::Left((Err(error), _)) => {
                logs::warn(&format!("failed to accept a caller's connection: {error}"));
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Either::Right(_) => return,
        }
    }
}

/// Starts a session if the limits allow another one.
fn admit(cx: &Rc<Context>, stream: TcpStream) {
    // A session that is relayed has a connection to its carrier besides.
    let descriptors = if cx.is_carrier() { 1 } else { 2 };
    let Some((account, registration)) = cx.accounts.open(descriptors) else {
        monoio::spawn(refuse(stream));
        return;
    };
    monoio::spawn(run_session(Rc::clone(cx), stream, account, registration));
}

/// Tells a new caller that no more sessions can be opened.
async fn refuse(stream: TcpStream) {
    let mut conn = Conn::new(stream);
    write::error(conn.write_buffer(), Code::Busy, "too many sessions");
    // The socket of a new connection takes it as soon as the runtime has registered it.
    let _ = conn.flush_part().await;
}

async fn run_session(
    cx: Rc<Context>,
    stream: TcpStream,
    account: Account,
    registration: AbortRegistration,
) {
    cx.sessions.set(cx.sessions.get() + 1);
    cx.shared.count(Counter::Sessions);
    let session = Session {
        conn: Conn::new(stream),
        database: String::new(),
        key: ApiKey::default(),
        last_identity: RefCell::default(),
        is_relayed_here: false,
        is_ending: false,
        runs: 0,
        params: SessionParams::new(),
        names: PreparedNames::new(Rc::clone(&cx)),
        last_write: Position::default(),
        tx: Transaction::None,
        relayed: false,
        relay: Relay::default(),
        placement: SessionPlacement::default(),
        is_started: false,
        account,
        scan: LineScan::default(),
        message_bytes: 0,
        answer_bytes: 0,
        values_bytes: 0,
        cx: Rc::clone(&cx),
    };
    // An error usually means that the caller has disconnected, the normal end of a session.
    let _ = cx.accounts.in_turns(Abortable::new(session.serve(), registration)).await;
    cx.sessions.set(cx.sessions.get() - 1);
}

impl Session {
    async fn serve(mut self) -> Result<(), WireError> {
        let ended = self.serve_until_end().await;
        self.abandon_transaction();
        ended
    }

    async fn serve_until_end(&mut self) -> Result<(), WireError> {
        let startup = time::timeout(STARTUP_TIMEOUT, self.message()).await;
        if startup.is_err() {
            self.account.log_refused(Reason::Startup, self.conn.buffered() as u64);
        }
        let Ok(Ok(Some(CallerMsg::Startup { database, key, is_relayed }))) = startup else {
            return Ok(());
        };
        self.database = database;
        self.key = ApiKey::new(&key);
        self.is_relayed_here = is_relayed;
        self.wait_until_servable().await;
        if !self.cx.can_serve() {
            return self.reject(Code::Busy, "no configuration or no carrier yet").await;
        }
        self.relayed = !self.cx.is_carrier();
        if self.relayed && self.is_relayed_here && self.cx.places_sessions() {
            return self.reject(Code::Busy, "this daemon is not a carrier").await;
        }
        if let Err((code, text)) = self.follow_placement().await {
            return self.reject(code, &text).await;
        }
        if self.relayed {
            if let Err((code, text)) = self.connect_to_carrier().await {
                return self.reject(code, &text).await;
            }
        } else if let Err((code, text)) = self.admit().await {
            return self.reject(code, text).await;
        }
        self.is_started = true;
        self.reply(|buf| write::ready(buf, TransactionState::Idle, None)).await?;
        loop {
            match self.message().await? {
                Some(CallerMsg::Query { id, text }) => self.query(&id, &text).await?,
                Some(CallerMsg::Startup { .. }) | Some(CallerMsg::Quit) | None => return Ok(()),
            }
            if self.is_ending {
                self.conn.shutdown().await;
                return Ok(());
            }
        }
    }

    /// Checks that the session's database exists and that its caller may use it.
    async fn admit(&self) -> Result<(), (Code, &'static str)> {
        let (route, _) = self.find_route().await?;
        self.identify(&route).await?;
        Ok(())
    }

    /// The route of the session's database, with the configuration's version. The configuration
    /// may be outdated, for example after a standstill, so it cannot deny a database before the
    /// store or another carrier has confirmed that it is recent. If none does so in time, the
    /// caller is asked to come back.
    pub(crate) async fn find_route(&self) -> Result<(Route, u64), (Code, &'static str)> {
        let end = clock::now() + DENIAL_TIMEOUT;
        loop {
            if let Some(found) = self.cx.route(&self.database) {
                return Ok(found);
            }
            if self.cx.is_config_recent() {
                return Err((Code::NoDatabase, "no database of that name"));
            }
            if clock::now() >= end {
                return Err((Code::Busy, "cannot tell at present whether the database exists"));
            }
            // Fails only during shutdown.
            let _ = self.cx.events.unbounded_send(Event::Data(Report::ConfigInDoubt));
            time::sleep(CONFIRMATION_CHECK_INTERVAL).await;
        }
    }

    async fn wait_until_servable(&self) {
        let wait = async {
            while !self.cx.can_serve() {
                time::sleep(CONFIG_CHECK_INTERVAL).await;
            }
        };
        // On a time-out, the session is rejected by the check that follows.
        let _ = time::timeout(CONFIG_TIMEOUT, wait).await;
    }

    pub(super) async fn reject(&mut self, code: Code, text: &str) -> Result<(), WireError> {
        logs::event(
            "session refused",
            &serde_json::json!({"database": excerpt(&self.database), "code": code.as_str(),
                "reason": text, "organisation": self.known_organisation().as_ref().map(|it| &it.name),
                "carrier": self.relay.carrier().filter(|_| self.relayed),
                "config": self.cx.config_version(), "config_age_ms": self.cx.config_age_ms()}),
        );
        self.reply(|buf| write::error(buf, code, text)).await?;
        self.conn.shutdown().await;
        Ok(())
    }

    /// Reads the caller's next message. Returns `None` if the session is to be closed.
    async fn message(&mut self) -> Result<Option<CallerMsg>, WireError> {
        self.account.idle();
        loop {
            self.account.end_turn().await;
            if let Some(msg) = self.take_message()? {
                return Ok(Some(msg));
            }
            if !self.admit_more().await? {
                continue;
            }
            let idle = matches!(self.tx, Transaction::None);
            let closes = self.cx.close_after_reply.get()
                || (self.relayed && self.cx.close_relayed_after_reply.get());
            if idle && closes && self.conn.buffered() == 0 {
                return Ok(None);
            }
            if idle {
                // The statements of a session that is relayed do not depend on this daemon's grant.
                let may_stay = self.relayed && self.cx.places_sessions();
                let evacuated = pin!(evacuated(&self.cx, may_stay));
                let stop = future::select(self.cx.stop_idle_sessions.clone(), evacuated);
                match future::select(pin!(self.conn.fill()), stop).await {
                    Either::Left((filled, _)) => filled?,
                    // A request may already be under way; closing now would lose it.
                    Either::Right((_, filled)) => match time::timeout(QUIET_PERIOD, filled).await {
                        Ok(filled) => filled?,
                        Err(_) => return Ok(None),
                    },
                }
            } else {
                self.fill_in_transaction().await?;
            }
        }
    }

    /// Waits for input from the caller. Rolls back an open transaction at the idle timeout or
    /// when shutdown stops transactions.
    async fn fill_in_transaction(&mut self) -> Result<(), WireError> {
        let open = matches!(self.tx, Transaction::Open(_) | Transaction::Relayed { .. });
        let idle = self.cx.idle_in_transaction_timeout().filter(|_| open);
        let idle_timeout = async {
            match idle {
                Some(idle) => time::sleep(idle).await,
                None => future::pending().await,
            }
        };
        let stop = self.cx.stop_transactions.clone().map(drop);
        let stop = async move { if open { stop.await } else { future::pending().await } };
        let (idle_timeout, stop) = (pin!(idle_timeout), pin!(stop));
        let stop = future::select(idle_timeout, stop);
        if let Either::Left((filled, _)) = future::select(pin!(self.conn.fill()), stop).await {
            return filled;
        }
        logs::event(
            "transaction ended",
            &serde_json::json!({"database": excerpt(&self.database),
                "reason": "idle in transaction for too long, or the daemon is shutting down"}),
        );
        self.abandon_transaction();
        Ok(())
    }

    /// Rolls back the open transaction. The caller is told with the reply to its next request.
    pub(crate) fn abandon_transaction(&mut self) {
        match std::mem::replace(&mut self.tx, Transaction::Failed) {
            Transaction::Open(open) => roll_back(open.lease),
            Transaction::Relayed { .. } => self.relay.close(),
            Transaction::None | Transaction::Pending { .. } | Transaction::Failed => {}
        }
    }

    async fn query(&mut self, id: &str, text: &str) -> Result<(), WireError> {
        // A daemon that relays a session adds the position of the session's last commit.
        let (after, text) = adapter::split_after_clause(text);
        self.last_write = self.last_write.max(after.unwrap_or_default());
        let Some(statement) = Statement::parse(text) else {
            return self.fail(id, Code::Malformed, "not understood").await;
        };
        let ends = matches!(statement, Statement::Commit | Statement::Rollback);
        if matches!(self.tx, Transaction::Failed) && !ends {
            return self.fail(id, Code::Malformed, "the transaction has failed").await;
        }
        let runs =
            matches!(statement, Statement::Data(_) | Statement::Execute { .. } | Statement::Commit);
        if !runs && let Err(reason) = self.check_key().await {
            return self.fail(id, Code::NoAuth, reason).await;
        }
        // A transaction that has begun on a member cannot move.
        if runs
            && matches!(self.tx, Transaction::None | Transaction::Pending { .. })
            && let Err((code, text)) = self.follow_placement().await
        {
            if statement == Statement::Commit {
                self.tx = Transaction::None;
            }
            return self.fail(id, code, &text).await;
        }
        match statement {
            Statement::Begin { read_only } => match self.tx {
                Transaction::None => {
                    self.tx = Transaction::Pending { read_only };
                    self.done().await
                }
                _ => self.fail(id, Code::Malformed, "a transaction is open already").await,
            },
            Statement::Commit if self.relayed => self.relay_commit(id).await,
            Statement::Commit => self.commit(id).await,
            Statement::Rollback => {
                match self.tx {
                    Transaction::Open(_) => self.abandon_transaction(),
                    Transaction::Relayed { .. } => self.roll_back_at_carrier().await,
                    _ => {}
                }
                self.tx = Transaction::None;
                self.done().await
            }
            Statement::Set { name, value } => {
                let added = name.len() + value.len() + ENTRY_BYTES;
                if !self.store(added) {
                    return self.refuse_stored(id).await;
                }
                if let Some(old) = self.params.insert(name.to_owned(), value.to_owned()) {
                    self.values_bytes -= name.len() + old.len() + ENTRY_BYTES;
                }
                self.values_bytes += added;
                self.done().await
            }
            Statement::Prepare { name, statement } => {
                if !self.store(name.len() + statement.text.len() + ENTRY_BYTES) {
                    return self.refuse_stored(id).await;
                }
                self.names.insert(name, statement);
                self.done().await
            }
            Statement::Deallocate { name } => {
                if !self.names.remove(name) {
                    return self.fail(id, Code::NoStatement, "no such name").await;
                }
                self.store(0);
                self.done().await
            }
            Statement::Data(_) | Statement::Execute { .. } if !self.admit_statement(id).await? => {
                Ok(())
            }
            Statement::Data(verb) if self.relayed => self.relay_data(id, verb, text, None).await,
            Statement::Data(verb) => self.run_data(id, verb, text, None).await,
            Statement::Execute { name, arguments } => match self.names.get(name) {
                Some(found) if self.relayed => {
                    self.relay_data(id, found.verb, arguments, Some(&found)).await
                }
                Some(found) => self.run_data(id, found.verb, arguments, Some(&found)).await,
                None => self.fail(id, Code::NoStatement, "no such name").await,
            },
        }
    }

    /// The transaction state that is reported to the caller.
    pub(crate) fn state(&self) -> TransactionState {
        match self.tx {
            Transaction::None => TransactionState::Idle,
            Transaction::Pending { .. } | Transaction::Open(_) | Transaction::Relayed { .. } => {
                TransactionState::Open
            }
            Transaction::Failed => TransactionState::Failed,
        }
    }

    /// Confirms a statement that this daemon handles without a member.
    async fn done(&mut self) -> Result<(), WireError> {
        let state = self.state();
        self.reply(|buf| {
            write::complete(buf, own::NO_SIGNATURE);
            write::ready(buf, state, None);
        })
        .await
    }

    /// Answers with an error and rolls back the transaction, if there is one.
    pub(crate) async fn fail(
        &mut self,
        id: &str,
        code: Code,
        reason: &str,
    ) -> Result<(), WireError> {
        if !matches!(self.tx, Transaction::None) {
            self.abandon_transaction();
        }
        if code == Code::NoAuth {
            self.tx = Transaction::None;
            self.is_ending = true;
        }
        let counter = match code {
            Code::InDoubt | Code::Timeout => Counter::InDoubt,
            Code::Aborted => Counter::Aborted,
            _ => Counter::Refused,
        };
        self.cx.shared.count(counter);
        self.log_outcome(id, code.as_str(), reason);
        let state = self.state();
        self.reply(|buf| {
            write::error(buf, code, reason);
            write::ready(buf, state, None);
        })
        .await
    }

    /// Logs the outcome of a request and its reason, with this daemon's current view of the
    /// group.
    pub(crate) fn log_outcome(&self, id: &str, outcome: &str, reason: &str) {
        if !self.account.may_log() {
            return;
        }
        let route = self.cx.route(&self.database);
        let group = route.as_ref().map(|(route, _)| self.cx.group(&route.group));
        let status = group.map(|group| group.status());
        logs::event(
            "answered",
            &serde_json::json!({"request": excerpt(id), "database": excerpt(&self.database),
                "outcome": outcome, "config_age_ms": self.cx.config_age_ms(),
                "organisation": self.known_organisation().as_ref().map(|it| &it.name),
                "reason": reason, "relayed": self.relayed, "mark": self.last_write.to_string(),
                "config": route.map(|(_, version)| version), "group": status}),
        );
    }

    pub(crate) async fn reply(
        &mut self,
        fill: impl FnOnce(&mut BytesMut),
    ) -> Result<(), WireError> {
        fill(self.conn.write_buffer());
        self.send_reply().await
    }

    /// Answers a statement that exceeds what the session may hold.
    async fn refuse_stored(&mut self, id: &str) -> Result<(), WireError> {
        self.fail(id, Code::Busy, STORED_TOO_MUCH).await?;
        if self.account.exceeds_store_refusals() { Err(WireError::Closed) } else { Ok(()) }
    }

    /// Accounts for the prepared statements and values, and for one more of this size; `false` if
    /// the session may not hold that many.
    fn store(&mut self, added: usize) -> bool {
        // The connection that the session uses holds another copy of the values.
        let bytes = self.names.bytes() + 2 * self.values_bytes + added;
        self.account.store(bytes as u64)
    }
}

/// Completes when idle sessions are to be closed so that callers reconnect elsewhere.
async fn evacuated(cx: &Context, may_stay: bool) {
    while may_stay || !cx.evacuate.get() {
        time::sleep(EVACUATE_CHECK_INTERVAL).await;
    }
}

/// Rolls back a transaction on its member in a task of its own, so that the session need not
/// wait.
pub(crate) fn roll_back(lease: ConnLease) {
    monoio::spawn(async move {
        let mut lease = lease;
        lease.begin_statement();
        let rolled_back = match lease.conn() {
            Ok(conn) => conn.roll_back().await,
            Err(_) => false,
        };
        if rolled_back { lease.release() } else { lease.fail() }
    });
}

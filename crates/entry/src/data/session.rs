use std::{pin::pin, rc::Rc, time::Duration};

use adapter::{CallerMsg, Code, PreparedStatement, Statement, TransactionState, own, write};
use base::{FastMap, Position};
use bytes::BytesMut;
use futures_util::{FutureExt, future, future::Either};
use monoio::{
    net::{TcpListener, TcpStream},
    time,
};
use wire::{Conn, WireError};

use crate::{
    data::{context::Context, lease::Lease, member_conn::Values, relay::Relay},
    shared::Counter,
};

/// Pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// How long a new session may take to say what it wants.
const STARTUP_LIMIT: Duration = Duration::from_secs(5);
/// How long a new session waits for the first configuration; callers give up after
/// two seconds.
const CONFIG_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a session must have been quiet before it is closed at a planned end.
const LAST_QUIET: Duration = Duration::from_millis(60);
/// How often an idle session looks whether it should go to another daemon.
const EVACUATE_TICK: Duration = Duration::from_millis(1_000);
const CONFIG_TICK: Duration = Duration::from_millis(50);

/// A caller's session.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) cx: Rc<Context>,
    pub(crate) conn: Conn,
    pub(crate) database: String,
    pub(crate) values: Values,
    pub(crate) names: FastMap<String, PreparedStatement>,
    /// Position of the session's last acknowledged commit.
    pub(crate) mark: Position,
    pub(crate) tx: Transaction,
    /// Whether its statements go through a carrier.
    pub(crate) relayed: bool,
    pub(crate) relay: Relay,
}

/// The session's transaction.
#[derive(Debug, Default)]
pub(crate) enum Transaction {
    /// None.
    #[default]
    None,
    /// Begun by the caller; no member knows of it yet.
    Pending { read_only: bool },
    /// Open on a member.
    Open { lease: Lease, read_only: bool, wrote: bool },
    /// Open at a carrier.
    Relayed { wrote: bool },
    /// Failed; nothing of it is kept.
    Failed,
}

/// Accepts callers until the process ends its sessions.
pub(crate) async fn listen(cx: Rc<Context>, listener: TcpListener) {
    let mut ended = cx.accepting_ends.clone();
    loop {
        let accept = pin!(listener.accept());
        match future::select(accept, &mut ended).await {
            Either::Left((Ok((stream, _)), _)) => {
                monoio::spawn(welcome(Rc::clone(&cx), stream));
            }
            Either::Left((Err(error), _)) => {
                logs::warn(&format!("a connection could not be accepted: {error}"));
                time::sleep(ACCEPT_AGAIN).await;
            }
            Either::Right(_) => return,
        }
    }
}

async fn welcome(cx: Rc<Context>, stream: TcpStream) {
    cx.sessions.set(cx.sessions.get() + 1);
    cx.shared.count(Counter::Sessions);
    let session = Session {
        conn: Conn::new(stream),
        database: String::new(),
        values: Values::new(),
        names: FastMap::default(),
        mark: Position::default(),
        tx: Transaction::None,
        relayed: false,
        relay: Relay::default(),
        cx: Rc::clone(&cx),
    };
    // A caller that leaves is the usual end of a session.
    let _ = session.serve().await;
    cx.sessions.set(cx.sessions.get() - 1);
}

impl Session {
    async fn serve(mut self) -> Result<(), WireError> {
        let ended = self.serve_until_end().await;
        self.abandon_transaction();
        ended
    }

    async fn serve_until_end(&mut self) -> Result<(), WireError> {
        let startup = time::timeout(STARTUP_LIMIT, self.message()).await;
        let Ok(Ok(Some(CallerMsg::Startup { database }))) = startup else { return Ok(()) };
        self.database = database;
        self.wait_until_served().await;
        if !self.cx.can_serve() {
            return self.turn_away(Code::Busy, "no configuration or no carrier yet").await;
        }
        self.relayed = !self.cx.carries.get();
        if self.relayed {
            if let Err((code, text)) = self.reach_carrier().await {
                return self.turn_away(code, &text).await;
            }
        } else if self.cx.route(&self.database).is_none() {
            return self.turn_away(Code::NoDatabase, "no database of that name").await;
        }
        self.reply(|buf| write::ready(buf, TransactionState::Idle, None)).await?;
        loop {
            match self.message().await? {
                Some(CallerMsg::Query { id, text }) => self.query(&id, &text).await?,
                Some(CallerMsg::Startup { .. }) | Some(CallerMsg::Quit) | None => return Ok(()),
            }
        }
    }

    async fn wait_until_served(&self) {
        let wait = async {
            while !self.cx.can_serve() {
                time::sleep(CONFIG_TICK).await;
            }
        };
        // The caller is turned away if it takes longer.
        let _ = time::timeout(CONFIG_LIMIT, wait).await;
    }

    async fn turn_away(&mut self, code: Code, text: &str) -> Result<(), WireError> {
        logs::event(
            "session refused",
            &serde_json::json!({"database": self.database, "code": code.as_str(), "reason": text}),
        );
        self.reply(|buf| write::error(buf, code, text)).await?;
        self.conn.shutdown().await;
        Ok(())
    }

    /// The caller's next message; `None` if the session should end.
    async fn message(&mut self) -> Result<Option<CallerMsg>, WireError> {
        loop {
            let taken = CallerMsg::take(self.conn.read_buffer());
            if let Some(msg) = taken.map_err(|error| WireError::protocol(error.to_string()))? {
                return Ok(Some(msg));
            }
            let idle = matches!(self.tx, Transaction::None);
            if idle && self.cx.last_answers.get() && self.conn.buffered() == 0 {
                return Ok(None);
            }
            if idle {
                let evacuated = pin!(evacuated(&self.cx));
                let ended = future::select(self.cx.sessions_end.clone(), evacuated);
                match future::select(pin!(self.conn.fill()), ended).await {
                    Either::Left((filled, _)) => filled?,
                    // A request may be on its way; closing now would lose it.
                    Either::Right((_, filled)) => match time::timeout(LAST_QUIET, filled).await {
                        Ok(filled) => filled?,
                        Err(_) => return Ok(None),
                    },
                }
            } else {
                self.fill_in_transaction().await?;
            }
        }
    }

    /// Waits for the caller, but not for longer than a transaction may rest.
    async fn fill_in_transaction(&mut self) -> Result<(), WireError> {
        let open = matches!(self.tx, Transaction::Open { .. } | Transaction::Relayed { .. });
        let idle = self.cx.transaction_idle().filter(|_| open);
        let rest = async {
            match idle {
                Some(idle) => time::sleep(idle).await,
                None => future::pending().await,
            }
        };
        let over = self.cx.all_end.clone().map(drop);
        let over = async move { if open { over.await } else { future::pending().await } };
        let (rest, over) = (pin!(rest), pin!(over));
        let over = future::select(rest, over);
        if let Either::Left((filled, _)) = future::select(pin!(self.conn.fill()), over).await {
            return filled;
        }
        logs::event(
            "transaction ended",
            &serde_json::json!({"database": self.database,
                "reason": "it rested for too long, or the process ends"}),
        );
        self.abandon_transaction();
        Ok(())
    }

    /// Rolls the open transaction back; the caller learns of it at its next request.
    pub(crate) fn abandon_transaction(&mut self) {
        match std::mem::replace(&mut self.tx, Transaction::Failed) {
            Transaction::Open { lease, .. } => roll_back(lease),
            Transaction::Relayed { .. } => self.relay.close(),
            Transaction::None | Transaction::Pending { .. } | Transaction::Failed => {}
        }
    }

    async fn query(&mut self, id: &str, text: &str) -> Result<(), WireError> {
        // Another daemon passes on what its caller's session has committed.
        let (after, text) = adapter::split_after_clause(text);
        self.mark = self.mark.max(after.unwrap_or_default());
        let Some(statement) = Statement::parse(text) else {
            return self.fail(id, Code::Malformed, "not understood").await;
        };
        let ends = matches!(statement, Statement::Commit | Statement::Rollback);
        if matches!(self.tx, Transaction::Failed) && !ends {
            return self.fail(id, Code::Malformed, "the transaction has failed").await;
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
                    Transaction::Open { .. } => self.abandon_transaction(),
                    Transaction::Relayed { .. } => self.roll_back_there().await,
                    _ => {}
                }
                self.tx = Transaction::None;
                self.done().await
            }
            Statement::Set { name, value } => {
                self.values.insert(name.to_owned(), value.to_owned());
                self.done().await
            }
            Statement::Prepare { name, statement } => {
                self.names.insert(name.to_owned(), statement);
                self.done().await
            }
            Statement::Deallocate { name } => match self.names.remove(name) {
                Some(_) => self.done().await,
                None => self.fail(id, Code::NoStatement, "no such name").await,
            },
            Statement::Data(verb) if self.relayed => self.relay_data(id, verb, text, None).await,
            Statement::Data(verb) => self.data(id, verb, text, None).await,
            Statement::Execute { name, arguments } => match self.names.get(name).cloned() {
                Some(shape) if self.relayed => {
                    self.relay_data(id, shape.verb, arguments, Some(&shape)).await
                }
                Some(shape) => self.data(id, shape.verb, arguments, Some(&shape)).await,
                None => self.fail(id, Code::NoStatement, "no such name").await,
            },
        }
    }

    /// The state that the caller is told.
    pub(crate) fn state(&self) -> TransactionState {
        match self.tx {
            Transaction::None => TransactionState::Idle,
            Transaction::Pending { .. }
            | Transaction::Open { .. }
            | Transaction::Relayed { .. } => TransactionState::Open,
            Transaction::Failed => TransactionState::Failed,
        }
    }

    /// Confirms a statement that no member needs to run.
    async fn done(&mut self) -> Result<(), WireError> {
        let state = self.state();
        self.reply(|buf| {
            write::complete(buf, own::NO_SIGNATURE);
            write::ready(buf, state, None);
        })
        .await
    }

    /// Answers with an error. A transaction has failed with it.
    pub(crate) async fn fail(
        &mut self,
        id: &str,
        code: Code,
        reason: &str,
    ) -> Result<(), WireError> {
        if !matches!(self.tx, Transaction::None) {
            self.abandon_transaction();
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

    /// Writes why a request got the answer it got, with what this daemon believed then.
    pub(crate) fn log_outcome(&self, id: &str, outcome: &str, reason: &str) {
        let route = self.cx.route(&self.database);
        let group = route.as_ref().map(|(route, _)| self.cx.group(&route.group));
        let belief = group.map(|group| group.belief());
        logs::event(
            "answered",
            &serde_json::json!({"request": id, "database": self.database, "outcome": outcome,
                "reason": reason, "relayed": self.relayed, "mark": self.mark.to_string(),
                "config": route.map(|(_, version)| version), "group": belief}),
        );
    }

    pub(crate) async fn reply(
        &mut self,
        fill: impl FnOnce(&mut BytesMut),
    ) -> Result<(), WireError> {
        let mut buf = BytesMut::new();
        fill(&mut buf);
        self.conn.queue_bytes(&buf);
        self.conn.flush().await
    }
}

/// Done when idle sessions should go to other daemons.
async fn evacuated(cx: &Context) {
    while !cx.evacuate.get() {
        time::sleep(EVACUATE_TICK).await;
    }
}

/// Rolls a transaction back on its member, apart from the session.
pub(crate) fn roll_back(lease: Lease) {
    monoio::spawn(async move {
        let mut lease = lease;
        lease.begin_statement();
        let rolled_back = match lease.conn() {
            Ok(conn) => conn.roll_back().await,
            Err(_) => false,
        };
        if rolled_back { lease.give_back() } else { lease.fail() }
    });
}

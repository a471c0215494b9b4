use std::{borrow::Cow, net::SocketAddr, pin::pin, time::Duration};

use adapter::{Code, PreparedStatement, TransactionState, Verb, own};
use base::Position;
use futures_util::{future, future::Either};
use monoio::time;
use rand::seq::IndexedRandom;
use wire::WireError;

use crate::{
    clock,
    control::Event,
    data::{
        carrier_orders::Place,
        context::Context,
        member_conn::{Answer, MemberConn, MemberError, SessionSetup},
        names::statement_name,
        session::{Session, Transaction},
    },
    messages::Report,
    shared::Counter,
};

/// Maximum number of carriers tried for one statement or for the start of a session.
const MAX_ATTEMPTS: u32 = 3;
/// How often a wait for an answer checks whether the carrier is still available.
const CARRIER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for opening a session at a carrier, most of which are in the same zone.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// A session's connection to a carrier, with the carrier's session address.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    conn: Option<(MemberConn, SocketAddr)>,
    /// The carrier that was last asked to open a session, for the log.
    last_carrier: Option<SocketAddr>,
}

impl Relay {
    /// Session address of the carrier that was last asked to open a session.
    pub(crate) fn carrier(&self) -> Option<SocketAddr> {
        self.last_carrier
    }

    /// Session address of the connected carrier; `None` if there is no connection, or the carrier has
    /// closed it.
    pub(crate) fn usable_carrier(&mut self) -> Option<SocketAddr> {
        let (conn, sessions) = self.conn.as_mut()?;
        (!conn.is_stale() && !conn.is_crowded()).then_some(*sessions)
    }

    /// The connection to the carrier, if there is one.
    pub(super) fn conn(&mut self) -> Option<&mut MemberConn> {
        self.conn.as_mut().map(|(conn, _)| conn)
    }

    /// Closes the connection, which rolls back an open transaction.
    pub(crate) fn close(&mut self) {
        self.conn = None;
    }
}

impl Session {
    /// Connects to a carrier. Fails at once if a carrier does not know the database, otherwise
    /// after [`MAX_ATTEMPTS`] failures.
    pub(crate) async fn connect_to_carrier(&mut self) -> Result<(), (Code, String)> {
        let mut refusal = (Code::Busy, "no carrier can be reached".to_owned());
        for _ in 0..MAX_ATTEMPTS {
            match self.ensure_carrier().await {
                Ok(()) => return Ok(()),
                Err(MemberError::Refused {
                    code: code @ (Code::NoDatabase | Code::NoAuth),
                    text,
                }) => return Err((code, text)),
                Err(error) => refusal.1 = error.to_string(),
            }
        }
        Err(refusal)
    }

    /// Runs a statement that reads or writes data, through a carrier.
    pub(crate) async fn relay_data(
        &mut self,
        id: &str,
        verb: Verb,
        text: &str,
        prepared: Option<&PreparedStatement>,
    ) -> Result<(), WireError> {
        if let Some(reason) = self.refuse_early(verb) {
            if matches!(self.tx, Transaction::Pending { .. }) {
                self.tx = Transaction::Failed;
            }
            return self.fail(id, Code::Busy, &reason).await;
        }
        let arguments = text;
        let text = match prepared {
            Some(prepared) => {
                let number = self.cx.names.borrow_mut().number(prepared);
                Cow::Owned(own::execute(&statement_name(number), text))
            }
            None => Cow::Borrowed(text),
        };
        match std::mem::take(&mut self.tx) {
            Transaction::None => match self.relay_single(id, verb, &text, prepared).await? {
                Ok(()) => Ok(()),
                Err((code, _)) if self.may_serve_instead(code) => {
                    self.serve_here();
                    self.run_data(id, verb, arguments, prepared).await
                }
                Err((code, reason)) => self.fail(id, code, &reason).await,
            },
            Transaction::Pending { read_only } => {
                if let Err(error) = self.begin_at_carrier(read_only, prepared).await {
                    if self.may_serve_instead(refusal_code(&error, Code::Busy)) {
                        self.serve_here();
                        self.tx = Transaction::Pending { read_only };
                        return self.run_data(id, verb, arguments, prepared).await;
                    }
                    return self.abort_unsent(id, &error).await;
                }
                let wrote = verb == Verb::Store;
                self.tx = Transaction::Relayed { wrote };
                self.relay_next(id, &text).await
            }
            Transaction::Relayed { wrote } => {
                let wrote = wrote || verb == Verb::Store;
                if let Err(error) = self.set_up_carrier(true, prepared, None).await {
                    return self.abort_unsent(id, &error).await;
                }
                self.tx = Transaction::Relayed { wrote };
                self.relay_next(id, &text).await
            }
            Transaction::Open(_) | Transaction::Failed => Ok(()),
        }
    }

    /// Commits the transaction through its carrier.
    pub(crate) async fn relay_commit(&mut self, id: &str) -> Result<(), WireError> {
        let wrote = match std::mem::take(&mut self.tx) {
            Transaction::None | Transaction::Open(_) => {
                return self.fail(id, Code::Malformed, "no transaction is open").await;
            }
            Transaction::Failed => {
                return self.fail(id, Code::Aborted, "the transaction failed").await;
            }
            Transaction::Pending { read_only } => {
                if let Err(error) = self.begin_at_carrier(read_only, None).await {
                    let reason = error.to_string();
                    return self.fail(id, refusal_code(&error, Code::Busy), &reason).await;
                }
                false
            }
            Transaction::Relayed { wrote } => wrote,
        };
        match self.run_on_carrier(id, None, own::COMMIT, false).await {
            Ok(answer) => {
                if wrote && answer.result.is_ok() {
                    self.last_write = self.last_write.max(answer.position.unwrap_or_default());
                }
                if answer.state != TransactionState::Idle {
                    self.roll_back_at_carrier().await;
                }
                self.deliver(id, clock::now(), &answer).await
            }
            Err(error) => {
                self.relay.close();
                let code = if wrote { Code::InDoubt } else { Code::Aborted };
                self.fail(id, code, &error.to_string()).await
            }
        }
    }

    /// Rolls back the transaction at its carrier.
    pub(crate) async fn roll_back_at_carrier(&mut self) {
        if let Some((conn, _)) = &mut self.relay.conn
            && !conn.roll_back().await
        {
            self.relay.close();
        }
    }

    /// Whether this daemon serves a session itself whose statement no other carrier has run, or
    /// taken if it can be repeated. `code` is the answer to the caller otherwise.
    fn may_serve_instead(&self, code: Code) -> bool {
        self.cx.is_carrier() && self.cx.places_sessions() && code != Code::NoAuth
    }

    /// Relays a single statement. The inner error is the answer to the caller if the statement has
    /// not run, or is a read that no carrier has answered.
    async fn relay_single(
        &mut self,
        id: &str,
        verb: Verb,
        text: &str,
        prepared: Option<&PreparedStatement>,
    ) -> Result<Result<(), (Code, String)>, WireError> {
        self.cx.shared.count(Counter::Statements);
        let received_at = clock::now();
        let reads = verb == Verb::Fetch;
        let after = reads.then_some(self.last_write);
        let mut attempts = 0;
        loop {
            attempts += 1;
            if let Err(error) = self.set_up_carrier(false, prepared, None).await {
                let code = refusal_code(&error, Code::Busy);
                if attempts < MAX_ATTEMPTS && code != Code::NoAuth {
                    continue;
                }
                return Ok(Err((code, error.to_string())));
            }
            match self.run_on_carrier(id, after, text, reads).await {
                // This carrier holds no grant, or its copies may be outdated; another one may do.
                Ok(answer) if is_elsewhere(&answer) && attempts < MAX_ATTEMPTS => {
                    self.drop_carrier()
                }
                Ok(answer) => {
                    if !reads && answer.result.is_ok() {
                        self.last_write = self.last_write.max(answer.position.unwrap_or_default());
                    }
                    return self.deliver(id, received_at, &answer).await.map(Ok);
                }
                Err(error) => {
                    self.end_carrier(&error);
                    if !reads {
                        return self.fail(id, Code::InDoubt, &error.to_string()).await.map(Ok);
                    }
                    if attempts >= MAX_ATTEMPTS || self.cx.must_answer() {
                        return Ok(Err((Code::Timeout, error.to_string())));
                    }
                    self.cx.shared.count(Counter::Retried);
                }
            }
        }
    }

    async fn relay_next(&mut self, id: &str, text: &str) -> Result<(), WireError> {
        self.cx.shared.count(Counter::Statements);
        let received_at = clock::now();
        match self.run_on_carrier(id, None, text, false).await {
            Ok(answer) => {
                if answer.state != TransactionState::Open {
                    self.tx = Transaction::Failed;
                }
                self.deliver(id, received_at, &answer).await?;
                if answer.state != TransactionState::Open {
                    self.roll_back_at_carrier().await;
                }
                Ok(())
            }
            Err(error) => {
                // The carrier rolls back the transaction when the connection closes.
                self.end_carrier(&error);
                self.tx = Transaction::Failed;
                self.fail(id, Code::Aborted, &error.to_string()).await
            }
        }
    }

    async fn abort_unsent(&mut self, id: &str, error: &MemberError) -> Result<(), WireError> {
        self.tx = Transaction::Failed;
        self.fail(id, refusal_code(error, Code::Aborted), &error.to_string()).await
    }

    async fn begin_at_carrier(
        &mut self,
        read_only: bool,
        prepared: Option<&PreparedStatement>,
    ) -> Result<(), MemberError> {
        let after = (read_only && self.last_write > Position::default()).then_some(self.last_write);
        let begin = own::begin(read_only);
        let mut result = Err(MemberError::Silent);
        for _ in 0..MAX_ATTEMPTS {
            result = self.set_up_carrier(false, prepared, Some((begin, after))).await;
            if result.is_ok() {
                break;
            }
        }
        result
    }

    /// Connects to a carrier if necessary, and sets the session's parameters, prepares the
    /// statement and begins the transaction there. If it fails, no statement of the caller
    /// has run.
    async fn set_up_carrier(
        &mut self,
        in_transaction: bool,
        prepared: Option<&PreparedStatement>,
        begin: Option<(&'static str, Option<Position>)>,
    ) -> Result<(), MemberError> {
        // An open transaction cannot move to another carrier.
        if !in_transaction {
            self.ensure_carrier().await?;
        }
        let prepared =
            prepared.map(|prepared| (self.cx.names.borrow_mut().number(prepared), prepared));
        let setup = SessionSetup { params: &self.params, prepared, begin };
        let Some((conn, _)) = &mut self.relay.conn else { return Err(MemberError::Silent) };
        let result = conn.set_up(&setup).await;
        match &result {
            // The carrier works; it refuses what this session holds or asks for.
            Err(MemberError::Refused { .. }) => self.relay.close(),
            Err(_) => self.drop_carrier(),
            Ok(()) => {}
        }
        result
    }

    /// Keeps the session's carrier while it is available, otherwise connects to another one.
    async fn ensure_carrier(&mut self) -> Result<(), MemberError> {
        if self.relay.usable_carrier().is_some_and(|sessions| self.cx.may_stay(sessions)) {
            return Ok(());
        }
        self.relay.close();
        let Some(sessions) = self.choose_carrier() else { return Err(MemberError::Silent) };
        self.open_at_carrier(sessions).await?;
        if let Some(order) = self.carrier_order() {
            self.record_place(Place::Carrier(sessions), &order, 1);
        }
        Ok(())
    }

    /// The carrier that the session is relayed to if it has none: the first one that it is placed
    /// on, otherwise any of those for new sessions.
    fn choose_carrier(&mut self) -> Option<SocketAddr> {
        let now = clock::now();
        if let Some(order) = self.carrier_order() {
            let mut carriers = order.places.iter().filter_map(|place| match place {
                Place::Carrier(sessions) => Some(*sessions),
                Place::Here => None,
            });
            if let Some(sessions) = carriers.find(|it| !self.placement.avoids(now, *it)) {
                return Some(sessions);
            }
        }
        self.cx.carriers.borrow().preferred.choose(&mut rand::rng()).copied()
    }

    /// Connects to a carrier. If that succeeds, it replaces the session's present one.
    pub(super) async fn open_at_carrier(
        &mut self,
        sessions: SocketAddr,
    ) -> Result<(), MemberError> {
        self.relay.last_carrier = Some(sessions);
        let number = self.cx.number();
        let open = MemberConn::open_relayed(number, sessions, &self.database, &self.key);
        let opened = time::timeout(OPEN_TIMEOUT, open).await;
        match opened.unwrap_or(Err(MemberError::Silent)) {
            Ok((conn, _)) => {
                self.relay.conn = Some((conn, sessions));
                Ok(())
            }
            Err(error) => {
                self.placement.avoid(clock::now(), sessions);
                // A carrier that cannot tell whether a database exists serves the others.
                let code = match &error {
                    MemberError::Refused { code, .. } => Some(*code),
                    _ => None,
                };
                if !matches!(code, Some(Code::NoDatabase | Code::NoAuth | Code::Busy)) {
                    report_carrier_failure(&self.cx, sessions);
                }
                Err(error)
            }
        }
    }

    /// Closes the connection after a statement has failed. The carrier counts as failed, unless it
    /// was this daemon that had no memory for the answer.
    fn end_carrier(&mut self, error: &MemberError) {
        match error {
            MemberError::NoMemory => self.relay.close(),
            _ => self.drop_carrier(),
        }
    }

    /// Closes the connection to a carrier that has not answered, and avoids the carrier for a while.
    pub(super) fn drop_carrier(&mut self) {
        if let Some((_, sessions)) = self.relay.conn.take() {
            self.placement.avoid(clock::now(), sessions);
            report_carrier_failure(&self.cx, sessions);
        }
    }

    /// Sends a statement and waits for its answer while the carrier answers heartbeats; if the
    /// statement is repeatable, only while it does so without delay. The carrier enforces the
    /// route's statement timeout. A daemon that ends does not wait for that long.
    async fn run_on_carrier(
        &mut self,
        id: &str,
        after: Option<Position>,
        text: &str,
        repeatable: bool,
    ) -> Result<Answer, MemberError> {
        let cx = std::rc::Rc::clone(&self.cx);
        let mut carrier = self.relay.conn.take();
        let memory = self.answer_memory();
        let Some((conn, sessions)) = &mut carrier else { return Err(MemberError::Silent) };
        let after = after.filter(|position| *position > Position::default());
        let run = async {
            conn.send(id, after, text).await?;
            conn.read_answer(memory).await
        };
        let gone = async {
            while cx.awaits_carrier(*sessions, repeatable) && !cx.must_answer() {
                time::sleep(CARRIER_CHECK_INTERVAL).await;
            }
        };
        let answer = match future::select(pin!(run), pin!(gone)).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => Err(MemberError::Silent),
        };
        self.relay.conn = carrier;
        answer
    }
}

/// Whether a carrier refused the statement because it cannot run statements at present.
fn is_elsewhere(answer: &Answer) -> bool {
    matches!(answer.result, Err((Code::ReadOnly, _)))
}

/// The code that a caller gets when no carrier has taken its statement: `otherwise`, unless a carrier
/// has denied the caller's API key.
fn refusal_code(error: &MemberError, otherwise: Code) -> Code {
    match error {
        MemberError::Refused { code: Code::NoAuth, .. } => Code::NoAuth,
        _ => otherwise,
    }
}

fn report_carrier_failure(cx: &Context, sessions: SocketAddr) {
    // Fails only during shutdown, when the control thread is gone.
    let _ = cx.events.unbounded_send(Event::Data(Report::CarrierFailed { sessions }));
}

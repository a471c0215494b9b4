use std::{net::SocketAddr, pin::pin, time::Duration};

use adapter::{Code, PreparedStatement, TransactionState, Verb, own};
use base::{MemberId, Position};
use futures_util::{future, future::Either};
use monoio::time;
use rand::seq::IndexedRandom;
use wire::WireError;

use crate::{
    clock,
    control::Event,
    data::{
        context::Context,
        member_conn::{Answer, MemberConn, MemberError, SetUp},
        names::member_name,
        session::{Session, Transaction},
    },
    messages::Report,
    shared::Counter,
};

/// Carriers tried for one statement.
const MAX_TRIES: u32 = 3;
/// How often a wait for an answer looks whether the carrier is still there.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// A session's way to the members through a carrier.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    conn: Option<(MemberConn, SocketAddr)>,
}

impl Relay {
    /// Closes the connection; an open transaction is rolled back with it.
    pub(crate) fn close(&mut self) {
        self.conn = None;
    }
}

impl Session {
    /// Connects to a carrier; an error is the carrier's word on the database.
    pub(crate) async fn reach_carrier(&mut self) -> Result<(), (Code, String)> {
        let mut refusal = (Code::Busy, "no carrier can be reached".to_owned());
        for _ in 0..MAX_TRIES {
            match self.ready_carrier().await {
                Ok(()) => return Ok(()),
                Err(MemberError::Refused { code: Code::NoDatabase, text }) => {
                    return Err((Code::NoDatabase, text));
                }
                Err(error) => refusal.1 = error.to_string(),
            }
        }
        Err(refusal)
    }

    /// Runs a statement that reads or writes through a carrier.
    pub(crate) async fn relay_data(
        &mut self,
        id: &str,
        verb: Verb,
        text: &str,
        shape: Option<&PreparedStatement>,
    ) -> Result<(), WireError> {
        let text = match shape {
            Some(shape) => {
                let number = self.cx.names.borrow_mut().number(shape);
                own::execute(&member_name(number), text)
            }
            None => text.to_owned(),
        };
        match std::mem::take(&mut self.tx) {
            Transaction::None => self.relay_single(id, verb, &text, shape).await,
            Transaction::Pending { read_only } => {
                if let Err(error) = self.begin_there(read_only, shape).await {
                    return self.not_begun(id, &error).await;
                }
                let wrote = verb == Verb::Store;
                self.tx = Transaction::Relayed { wrote };
                self.relay_next(id, &text).await
            }
            Transaction::Relayed { wrote } => {
                let wrote = wrote || verb == Verb::Store;
                if let Err(error) = self.set_up_there(true, shape, None).await {
                    return self.not_begun(id, &error).await;
                }
                self.tx = Transaction::Relayed { wrote };
                self.relay_next(id, &text).await
            }
            Transaction::Open { .. } | Transaction::Failed => Ok(()),
        }
    }

    /// Ends a transaction through a carrier, keeping its writes.
    pub(crate) async fn relay_commit(&mut self, id: &str) -> Result<(), WireError> {
        let wrote = match std::mem::take(&mut self.tx) {
            Transaction::None | Transaction::Open { .. } => {
                return self.fail(id, Code::Malformed, "no transaction is open").await;
            }
            Transaction::Failed => {
                return self.fail(id, Code::Aborted, "the transaction failed").await;
            }
            Transaction::Pending { read_only } => {
                if let Err(error) = self.begin_there(read_only, None).await {
                    let reason = error.to_string();
                    return self.fail(id, Code::Busy, &reason).await;
                }
                false
            }
            Transaction::Relayed { wrote } => wrote,
        };
        match self.ask_carrier(id, None, own::COMMIT).await {
            Ok(answer) => {
                if wrote && answer.result.is_ok() {
                    self.mark = self.mark.max(answer.position.unwrap_or_default());
                }
                if answer.state != TransactionState::Idle {
                    self.roll_back_there().await;
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

    /// Rolls the transaction back at the carrier.
    pub(crate) async fn roll_back_there(&mut self) {
        if let Some((conn, _)) = &mut self.relay.conn
            && !conn.roll_back().await
        {
            self.relay.close();
        }
    }

    async fn relay_single(
        &mut self,
        id: &str,
        verb: Verb,
        text: &str,
        shape: Option<&PreparedStatement>,
    ) -> Result<(), WireError> {
        self.cx.shared.count(Counter::Statements);
        let began = clock::now();
        let reads = verb == Verb::Fetch;
        let after = reads.then_some(self.mark);
        let mut tries = 0;
        loop {
            tries += 1;
            if let Err(error) = self.set_up_there(false, shape, None).await {
                if tries < MAX_TRIES {
                    continue;
                }
                return self.fail(id, Code::Busy, &error.to_string()).await;
            }
            match self.ask_carrier(id, after, text).await {
                // This carrier cannot tell who is primary; another one may.
                Ok(answer) if declined(&answer) && tries < MAX_TRIES => self.leave_carrier(),
                Ok(answer) => {
                    if !reads && answer.result.is_ok() {
                        self.mark = self.mark.max(answer.position.unwrap_or_default());
                    }
                    return self.deliver(id, began, &answer).await;
                }
                Err(error) => {
                    self.leave_carrier();
                    if !reads {
                        return self.fail(id, Code::InDoubt, &error.to_string()).await;
                    }
                    if tries >= MAX_TRIES {
                        return self.fail(id, Code::Timeout, &error.to_string()).await;
                    }
                    self.cx.shared.count(Counter::Retried);
                }
            }
        }
    }

    async fn relay_next(&mut self, id: &str, text: &str) -> Result<(), WireError> {
        self.cx.shared.count(Counter::Statements);
        let began = clock::now();
        match self.ask_carrier(id, None, text).await {
            Ok(answer) => {
                if answer.state != TransactionState::Open {
                    self.tx = Transaction::Failed;
                }
                self.deliver(id, began, &answer).await?;
                if answer.state != TransactionState::Open {
                    self.roll_back_there().await;
                }
                Ok(())
            }
            Err(error) => {
                // The carrier rolls back what its session leaves open.
                self.leave_carrier();
                self.tx = Transaction::Failed;
                self.fail(id, Code::Aborted, &error.to_string()).await
            }
        }
    }

    async fn not_begun(&mut self, id: &str, error: &MemberError) -> Result<(), WireError> {
        self.tx = Transaction::Failed;
        self.fail(id, Code::Aborted, &error.to_string()).await
    }

    async fn begin_there(
        &mut self,
        read_only: bool,
        shape: Option<&PreparedStatement>,
    ) -> Result<(), MemberError> {
        let after = (read_only && self.mark > Position::default()).then_some(self.mark);
        let begin = own::begin(read_only);
        let mut result = Err(MemberError::Silent);
        for _ in 0..MAX_TRIES {
            result = self.set_up_there(false, shape, Some((begin, after))).await;
            if result.is_ok() {
                break;
            }
        }
        result
    }

    /// Connects to a carrier if need be and gives it values, names and the begin of a
    /// transaction. Nothing of the caller's has run if it fails.
    async fn set_up_there(
        &mut self,
        in_transaction: bool,
        shape: Option<&PreparedStatement>,
        begin: Option<(&'static str, Option<Position>)>,
    ) -> Result<(), MemberError> {
        // A transaction stays where it was begun.
        if !in_transaction {
            self.ready_carrier().await?;
        }
        let prepared = shape.map(|shape| (self.cx.names.borrow_mut().number(shape), shape));
        let set_up = SetUp { values: &self.values, prepared, begin };
        let Some((conn, _)) = &mut self.relay.conn else { return Err(MemberError::Silent) };
        let result = conn.set_up(&set_up).await;
        if result.is_err() {
            self.leave_carrier();
        }
        result
    }

    /// Keeps the session's carrier, or connects to another one.
    async fn ready_carrier(&mut self) -> Result<(), MemberError> {
        if let Some((conn, sessions)) = &mut self.relay.conn
            && self.cx.is_choice(*sessions)
            && !conn.is_spoilt()
        {
            return Ok(());
        }
        self.relay.close();
        let chosen = self.cx.choices.borrow().choose(&mut rand::rng()).copied();
        let Some(sessions) = chosen else { return Err(MemberError::Silent) };
        let number = self.cx.number();
        let who = self.cx.vm.clone();
        let opened = MemberConn::open(
            number,
            sessions,
            &self.database,
            &who,
            &MemberId::new(own::STATEMENT_ID),
        )
        .await;
        match opened {
            Ok((conn, _)) => {
                self.relay.conn = Some((conn, sessions));
                Ok(())
            }
            Err(error) => {
                if !matches!(error, MemberError::Refused { code: Code::NoDatabase, .. }) {
                    report_failed(&self.cx, sessions);
                }
                Err(error)
            }
        }
    }

    fn leave_carrier(&mut self) {
        if let Some((_, sessions)) = self.relay.conn.take() {
            report_failed(&self.cx, sessions);
        }
    }

    /// Sends a statement and waits for its answer as long as the carrier is there; the
    /// carrier itself keeps the limit of the route.
    async fn ask_carrier(
        &mut self,
        id: &str,
        after: Option<Position>,
        text: &str,
    ) -> Result<Answer, MemberError> {
        let cx = std::rc::Rc::clone(&self.cx);
        let Some((conn, sessions)) = &mut self.relay.conn else { return Err(MemberError::Silent) };
        let after = after.filter(|position| *position > Position::default());
        let ask = async {
            conn.send(id, after, text).await?;
            conn.answer().await
        };
        let gone = async {
            while cx.is_choice(*sessions) {
                time::sleep(LOOK_EVERY).await;
            }
        };
        match future::select(pin!(ask), pin!(gone)).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => Err(MemberError::Silent),
        }
    }
}

/// Whether a carrier says that it cannot tell who is primary.
fn declined(answer: &Answer) -> bool {
    matches!(answer.result, Err((Code::ReadOnly, _)))
}

fn report_failed(cx: &Context, sessions: SocketAddr) {
    // Fails only while the process ends.
    let _ = cx.events.unbounded_send(Event::Data(Report::CarrierFailed { sessions }));
}

use std::{pin::pin, time::Duration};

use adapter::{Code, Consistency, Route, Shape, State, Verb, own, write};
use base::{Position, Rank, Span, Time};
use futures_util::{future, future::Either};
use monoio::time;
use pool::{Need, Request};
use table::{Policy, RowKey};
use wire::WireError;

use crate::{
    clock,
    data::{
        group::{Granted, Group, need_of},
        lease::Lease,
        member_conn::{Answer, MemberError, SetUp},
        names::member_name,
        session::{Session, Transaction, roll_back},
    },
    shared::Counter,
};

/// Taken off the age of data that a route accepts: the way from the caller to here.
const AGE_MARGIN: Span = Span::from_millis(30);
/// Pause before a statement that did not run is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(8);
/// Tries of one statement.
const MAX_TRIES: u32 = 6;
/// Shortest time after which a read that is not answered is tried elsewhere.
const LEAST_PATIENCE: Span = Span::from_millis(250);
/// How long an answer is still read that nobody waits for any more.
const DRAIN_LIMIT: Duration = Duration::from_millis(1_500);

/// Why a success of a write is not passed on.
const LATE_FOR_GRANT: &str =
    "the answer came when the primary was replaced or this daemon's grant had lapsed";

/// Why a transaction ends whose member lacks a name that the caller has prepared.
const NAME_LOST: &str = "the member lacks a prepared name";

/// Why a statement for the primary is refused at once; other daemons may know better.
const NO_GRANT: &str = "this daemon cannot tell at present who is primary";

/// A statement that a member must run.
#[derive(Clone, Copy, Debug)]
struct Turn<'a> {
    id: &'a str,
    verb: Verb,
    /// The caller's text, or the arguments of a prepared statement.
    text: &'a str,
    shape: Option<&'a Shape>,
    began: Time,
    deadline: Time,
}

/// How a try ended.
#[derive(Debug)]
enum Tried {
    /// The member answered.
    Answered(Lease, Answer),
    /// It certainly did not run.
    NotRun(Code, &'static str),
    /// It may have run.
    Unknown(&'static str),
}

/// Outcome of asking for a connection.
#[derive(Debug)]
enum Acquired {
    Lease(Lease),
    Refused(&'static str),
    /// This daemon cannot tell at present who is primary.
    NoGrant,
}

impl Session {
    /// Runs a statement that reads or writes.
    pub(crate) async fn data(
        &mut self,
        id: &str,
        verb: Verb,
        text: &str,
        shape: Option<&Shape>,
    ) -> Result<(), WireError> {
        self.cx.shared.count(Counter::Statements);
        let Some((route, _)) = self.cx.route(&self.database) else {
            return self.fail(id, Code::NoDatabase, "no database of that name any more").await;
        };
        let began = clock::now();
        let turn = Turn { id, verb, text, shape, began, deadline: began + route.statement_limit };
        match std::mem::take(&mut self.tx) {
            Transaction::None => self.single(&turn, &route).await,
            Transaction::Pending { read_only } => self.first(&turn, &route, read_only).await,
            Transaction::Open { lease, read_only, wrote } => {
                self.next(&turn, lease, read_only, wrote).await
            }
            Transaction::Relayed { .. } | Transaction::Failed => Ok(()),
        }
    }

    /// Runs a statement outside of a transaction.
    async fn single(&mut self, turn: &Turn<'_>, route: &Route) -> Result<(), WireError> {
        let reads = turn.verb == Verb::Fetch;
        let group = self.cx.group(&route.group);
        let mut required = self.required(&group, route, reads);
        self.cx.retries.borrow_mut().note_request();
        let mut tries = 0;
        loop {
            tries += 1;
            let lease = match self.acquire(&group, turn, route, need_of(required)).await? {
                Acquired::Lease(lease) => lease,
                Acquired::Refused(reason) => return self.fail(turn.id, Code::Busy, reason).await,
                Acquired::NoGrant => return self.fail(turn.id, Code::ReadOnly, NO_GRANT).await,
            };
            let tried = self.try_single(turn, route, &group, lease, required).await;
            let (code, reason) = match tried {
                Tried::Answered(lease, answer) => {
                    return self.deliver_single(turn, &group, lease, answer).await;
                }
                Tried::Unknown(reason) if !reads => {
                    return self.fail(turn.id, Code::InDoubt, reason).await;
                }
                Tried::Unknown(reason) => (Code::Timeout, reason),
                Tried::NotRun(code, reason) => (code, reason),
            };
            if code == Code::Lagging && tries > 1 {
                required = None;
            }
            let in_time = clock::now() < turn.deadline;
            if !in_time || tries >= MAX_TRIES || !self.may_retry(code) {
                return self.fail(turn.id, for_caller(code), reason).await;
            }
            self.cx.shared.count(Counter::Retried);
            if code != Code::Lagging {
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Retries after an answer that did not come cost a member's time twice, so they
    /// have a budget; the others do not.
    fn may_retry(&self, code: Code) -> bool {
        code != Code::Timeout || self.cx.retries.borrow_mut().take()
    }

    /// The position that reads need; `None` if only the primary will do.
    fn required(&self, group: &Group, route: &Route, reads: bool) -> Option<Position> {
        if !reads {
            return None;
        }
        let covering = |age: Span| {
            let age = age.as_micros().saturating_sub(AGE_MARGIN.as_micros());
            group.covering(Span::from_micros(age))
        };
        match route.consistency {
            Consistency::Current => None,
            Consistency::Bounded(age) => covering(age),
            Consistency::OwnWrites(age) => covering(age).map(|position| position.max(self.mark)),
        }
    }

    async fn acquire(
        &mut self,
        group: &std::rc::Rc<Group>,
        turn: &Turn<'_>,
        route: &Route,
        need: Need,
    ) -> Result<Acquired, WireError> {
        if need == Need::Primary && group.lacks_grant() {
            return Ok(Acquired::NoGrant);
        }
        let req = self.cx.number();
        let rank = match route.urgency {
            0 => Rank::Submission,
            1 => Rank::Lookup,
            _ => Rank::Report,
        };
        let request = Request {
            req,
            need,
            key: RowKey { name: self.database.clone(), rank },
            policy: Policy { target: Some(route.target), ..Policy::default() },
            since: turn.began,
            deadline: turn.deadline,
        };
        let mut granted = group.acquire(request);
        let left = loop {
            let waits = async {
                if self.conn.buffered() > 0 {
                    // The caller is there; what it says can wait.
                    future::pending::<()>().await;
                }
                self.conn.fill().await
            };
            match future::select(&mut granted, pin!(waits)).await {
                Either::Left((Ok(Granted::Conn(lease)), _)) => return Ok(Acquired::Lease(lease)),
                Either::Left((Ok(Granted::Refused(reason)), _)) => {
                    return Ok(Acquired::Refused(reason));
                }
                Either::Left((Err(_), _)) => return Ok(Acquired::Refused("the daemon ends")),
                Either::Right((Ok(()), _)) => {}
                Either::Right((Err(error), _)) => break error,
            }
        };
        group.withdraw(req);
        self.log_outcome(turn.id, "none", "the caller left while it waited");
        Err(left)
    }

    async fn try_single(
        &mut self,
        turn: &Turn<'_>,
        route: &Route,
        group: &std::rc::Rc<Group>,
        mut lease: Lease,
        required: Option<Position>,
    ) -> Tried {
        if lease.is_spoilt() {
            return Tried::NotRun(Code::Busy, "the member closed the connection");
        }
        if let Some(tried) = self.set_up(&mut lease, turn.shape, None).await {
            lease.fail();
            return tried;
        }
        if required.is_none() && !group.leads(lease.epoch) {
            lease.give_back();
            return Tried::NotRun(Code::Busy, "a change of primary is under way");
        }
        let reads = turn.verb == Verb::Fetch;
        let left = turn.deadline.since(clock::now());
        let patience = Span::from_micros(route.target.as_micros() / 2).max(LEAST_PATIENCE);
        let limit = if reads { patience.min(left) } else { left };
        match self.ask(turn, &mut lease, required, limit).await {
            Ok(answer) => self.judge_single(turn.id, group, lease, answer, required),
            Err(MemberError::Silent) => {
                drain(lease);
                Tried::Unknown("the member did not answer in time")
            }
            Err(_) => {
                lease.fail();
                Tried::Unknown("the connection broke before the answer came")
            }
        }
    }

    fn judge_single(
        &mut self,
        id: &str,
        group: &std::rc::Rc<Group>,
        mut lease: Lease,
        answer: Answer,
        required: Option<Position>,
    ) -> Tried {
        let Err((code, _)) = &answer.result else { return Tried::Answered(lease, answer) };
        let code = *code;
        if !code.not_run() {
            return Tried::Answered(lease, answer);
        }
        match (code, required) {
            (Code::Lagging, Some(required)) => lease.note_behind(required),
            (Code::NoStatement, _) => {
                if let Ok(conn) = lease.conn() {
                    conn.forget_names();
                }
            }
            _ => {}
        }
        logs::event(
            "member declined",
            &serde_json::json!({"request": id, "group": group.name, "member": lease.member,
                "code": code.as_str(), "required": required.map(|it| it.to_string()),
                "position": answer.position.map(|it| it.to_string())}),
        );
        lease.give_back();
        let reason = match code {
            Code::Lagging => "the replicas are behind",
            Code::ReadOnly => "the member does not lead any more",
            _ => "the member is full",
        };
        Tried::NotRun(code, reason)
    }

    /// Sets a connection up; `Some` if that failed, with the connection to be closed.
    async fn set_up(
        &mut self,
        lease: &mut Lease,
        shape: Option<&Shape>,
        begin: Option<(&'static str, Option<Position>)>,
    ) -> Option<Tried> {
        let prepared = shape.map(|shape| (self.cx.names.borrow_mut().number(shape), shape));
        let set_up = SetUp { values: &self.values, prepared, begin };
        let result = match lease.conn() {
            Ok(conn) => conn.set_up(&set_up).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(()) => None,
            Err(MemberError::Refused { code, .. }) => {
                if let (Code::Lagging, Some((_, Some(required)))) = (code, begin) {
                    lease.note_behind(required);
                }
                let code = if code.not_run() { code } else { Code::Busy };
                Some(Tried::NotRun(code, "the member refused to begin"))
            }
            Err(_) => Some(Tried::NotRun(Code::Busy, "the member did not answer")),
        }
    }

    /// Sends a statement and reads its answer.
    async fn ask(
        &mut self,
        turn: &Turn<'_>,
        lease: &mut Lease,
        after: Option<Position>,
        limit: Span,
    ) -> Result<Answer, MemberError> {
        let text = match turn.shape {
            Some(shape) => {
                let name = member_name(self.cx.names.borrow_mut().number(shape));
                own::execute(&name, turn.text)
            }
            None => turn.text.to_owned(),
        };
        lease.begin_statement();
        let after = after.filter(|position| *position > Position::default());
        let conn = lease.conn()?;
        let run = async {
            conn.send(turn.id, after, &text).await?;
            conn.answer().await
        };
        let limit = Duration::from_micros(limit.as_micros());
        let answer = time::timeout(limit, run).await.unwrap_or(Err(MemberError::Silent))?;
        lease.end_statement(Some(&answer));
        Ok(answer)
    }

    async fn deliver_single(
        &mut self,
        turn: &Turn<'_>,
        group: &std::rc::Rc<Group>,
        lease: Lease,
        answer: Answer,
    ) -> Result<(), WireError> {
        let wrote = turn.verb == Verb::Store && answer.result.is_ok();
        if wrote && !group.leads(lease.epoch) {
            lease.give_back();
            return self.fail(turn.id, Code::InDoubt, LATE_FOR_GRANT).await;
        }
        if wrote {
            self.mark = self.mark.max(answer.position.unwrap_or_default());
        } else {
            let on_primary = lease.on_primary();
            let counter = if on_primary { Counter::PrimaryReads } else { Counter::ReplicaReads };
            self.cx.shared.count(counter);
        }
        if answer.state == State::Idle {
            lease.give_back();
        } else {
            lease.fail();
        }
        self.deliver(turn.id, turn.began, &answer).await
    }

    /// Passes a member's answer on.
    pub(crate) async fn deliver(
        &mut self,
        id: &str,
        began: Time,
        answer: &Answer,
    ) -> Result<(), WireError> {
        self.cx.shared.note_latency(clock::now().since(began));
        if let Err((code, text)) = &answer.result {
            self.log_outcome(id, code.as_str(), &format!("a member's or carrier's word: {text}"));
        }
        let state = self.state();
        self.reply(|buf| {
            for row in &answer.rows {
                write::row(buf, row);
            }
            match &answer.result {
                Ok(signature) => write::complete(buf, signature),
                Err((code, text)) => write::error(buf, *code, text),
            }
            write::ready(buf, state, answer.position);
        })
        .await
    }

    /// Begins a transaction on a member with its first statement.
    async fn first(
        &mut self,
        turn: &Turn<'_>,
        route: &Route,
        read_only: bool,
    ) -> Result<(), WireError> {
        let group = self.cx.group(&route.group);
        let mut required = self.required(&group, route, read_only);
        let mut tries = 0;
        let lease = loop {
            tries += 1;
            let mut lease = match self.acquire(&group, turn, route, need_of(required)).await? {
                Acquired::Lease(lease) => lease,
                Acquired::Refused(reason) => {
                    self.tx = Transaction::Failed;
                    return self.fail(turn.id, Code::Busy, reason).await;
                }
                Acquired::NoGrant => {
                    self.tx = Transaction::Failed;
                    return self.fail(turn.id, Code::ReadOnly, NO_GRANT).await;
                }
            };
            let begin = own::begin(read_only);
            let after = required.filter(|position| *position > Position::default());
            let tried = if lease.is_spoilt() {
                Some(Tried::NotRun(Code::Busy, "the member closed the connection"))
            } else if required.is_none() && !group.leads(lease.epoch) {
                Some(Tried::NotRun(Code::Busy, "a change of primary is under way"))
            } else {
                self.set_up(&mut lease, turn.shape, Some((begin, after))).await
            };
            let Some(tried) = tried else { break lease };
            drop(lease);
            let (code, reason) = match tried {
                Tried::NotRun(code, reason) => (code, reason),
                _ => (Code::Busy, "the member did not answer"),
            };
            if code == Code::Lagging && tries > 1 {
                required = None;
            }
            if clock::now() >= turn.deadline || tries >= MAX_TRIES {
                self.tx = Transaction::Failed;
                return self.fail(turn.id, Code::Busy, reason).await;
            }
            if code != Code::Lagging {
                time::sleep(RETRY_PAUSE).await;
            }
        };
        self.next(turn, lease, read_only, false).await
    }

    /// Runs a statement of an open transaction.
    async fn next(
        &mut self,
        turn: &Turn<'_>,
        mut lease: Lease,
        read_only: bool,
        wrote: bool,
    ) -> Result<(), WireError> {
        if let Some(tried) = self.set_up(&mut lease, turn.shape, None).await {
            drop(lease);
            self.tx = Transaction::Failed;
            let reason = match tried {
                Tried::NotRun(_, reason) | Tried::Unknown(reason) => reason,
                Tried::Answered(..) => "the member did not answer",
            };
            return self.fail(turn.id, Code::Aborted, reason).await;
        }
        let left = turn.deadline.since(clock::now());
        let answer = match self.ask(turn, &mut lease, None, left).await {
            Ok(answer) => answer,
            Err(error) => {
                // Closing the connection rolls the transaction back.
                lease.fail();
                self.tx = Transaction::Failed;
                return self.fail(turn.id, Code::Aborted, &error.to_string()).await;
            }
        };
        if let Err((Code::NoStatement, _)) = &answer.result {
            roll_back(lease);
            self.tx = Transaction::Failed;
            return self.fail(turn.id, Code::Aborted, NAME_LOST).await;
        }
        let wrote = wrote || turn.verb == Verb::Store;
        match answer.state {
            State::Transaction => self.tx = Transaction::Open { lease, read_only, wrote },
            State::Failed => {
                roll_back(lease);
                self.tx = Transaction::Failed;
            }
            State::Idle => lease.give_back(),
        }
        self.deliver(turn.id, turn.began, &answer).await
    }

    /// Ends a transaction and keeps its writes.
    pub(crate) async fn commit(&mut self, id: &str) -> Result<(), WireError> {
        let began = clock::now();
        let Some((route, _)) = self.cx.route(&self.database) else {
            self.abandon_transaction();
            self.tx = Transaction::None;
            return self.fail(id, Code::Aborted, "no database of that name any more").await;
        };
        let turn = Turn {
            id,
            verb: Verb::Fetch,
            text: own::COMMIT,
            shape: None,
            began,
            deadline: began + route.statement_limit,
        };
        match std::mem::take(&mut self.tx) {
            Transaction::None => self.fail(id, Code::Malformed, "no transaction is open").await,
            Transaction::Relayed { .. } | Transaction::Failed => {
                self.fail(id, Code::Aborted, "the transaction failed").await
            }
            Transaction::Pending { read_only } => {
                // An empty transaction: the member's word is wanted all the same.
                self.first(&turn, &route, read_only).await?;
                if matches!(self.tx, Transaction::Failed) {
                    self.tx = Transaction::None;
                }
                Ok(())
            }
            Transaction::Open { lease, read_only, wrote } => {
                self.commit_open(&turn, &route, lease, read_only, wrote).await
            }
        }
    }

    async fn commit_open(
        &mut self,
        turn: &Turn<'_>,
        route: &Route,
        mut lease: Lease,
        read_only: bool,
        wrote: bool,
    ) -> Result<(), WireError> {
        let group = self.cx.group(&route.group);
        let writes = wrote && !read_only;
        if writes && !group.leads(lease.epoch) {
            roll_back(lease);
            return self.fail(turn.id, Code::Aborted, "the primary is being replaced").await;
        }
        let left = turn.deadline.since(clock::now());
        let answer = match self.ask(turn, &mut lease, None, left).await {
            Ok(answer) => answer,
            Err(error) => {
                lease.fail();
                let code = if writes { Code::InDoubt } else { Code::Aborted };
                return self.fail(turn.id, code, &error.to_string()).await;
            }
        };
        let leads = group.leads(lease.epoch);
        if answer.state == State::Idle {
            lease.give_back();
        } else {
            roll_back(lease);
        }
        if answer.result.is_ok() && writes {
            if !leads {
                return self.fail(turn.id, Code::InDoubt, LATE_FOR_GRANT).await;
            }
            self.mark = self.mark.max(answer.position.unwrap_or_default());
        }
        self.deliver(turn.id, turn.began, &answer).await
    }
}

/// The word that a caller gets for a statement that members declined. Where a statement
/// was sent, and which names members lack, is this daemon's matter, not the caller's.
fn for_caller(code: Code) -> Code {
    match code {
        Code::Misrouted | Code::NoStatement => Code::Busy,
        code => code,
    }
}

/// Reads an answer to its end that nobody waits for any more, so that the member's
/// work is not cut off and the connection can be used again.
fn drain(lease: Lease) {
    monoio::spawn(async move {
        let mut lease = lease;
        lease.stop_counting();
        let answer = match lease.conn() {
            Ok(conn) => time::timeout(DRAIN_LIMIT, conn.answer()).await,
            Err(_) => return,
        };
        match answer {
            Ok(Ok(answer)) if answer.state == State::Idle => {
                lease.end_statement(Some(&answer));
                lease.give_back();
            }
            _ => lease.fail(),
        }
    });
}

use std::{pin::pin, time::Duration};

use adapter::{Code, Consistency, PreparedStatement, Route, Verb, own, write};
use base::{Position, Rank, Span, Time};
use futures_util::{future, future::Either};
use monoio::time;
use pool::{Request, Requirement};
use table::{Policy, RowKey};
use wire::WireError;

use crate::{
    clock,
    data::{
        group::{Granted, Group},
        lease::Lease,
        member_conn::{Answer, MemberError, SetUp},
        names::member_name,
        session::{Session, Transaction},
        turn::{Acquired, Tried, Turn},
    },
    shared::Counter,
};

/// Taken off the age of data that a route accepts: the way from the caller to here.
const AGE_MARGIN: Span = Span::from_millis(30);
/// Pause before a statement that did not run is tried again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(8);
/// Tries of one statement.
pub(super) const MAX_TRIES: u32 = 6;

/// Why a success of a write is not passed on.
pub(super) const LATE_FOR_GRANT: &str =
    "the answer came when the primary was replaced or this daemon's grant had lapsed";

/// Why a statement for the primary is refused at once; other daemons may know better.
pub(super) const NO_GRANT: &str = "this daemon cannot tell at present who is primary";

impl Session {
    /// Runs a statement that reads or writes.
    pub(crate) async fn data(
        &mut self,
        id: &str,
        verb: Verb,
        text: &str,
        shape: Option<&PreparedStatement>,
    ) -> Result<(), WireError> {
        self.cx.shared.count(Counter::Statements);
        let Some((route, _)) = self.cx.route(&self.database) else {
            return self.fail(id, Code::NoDatabase, "no database of that name any more").await;
        };
        let began = clock::now();
        let turn = Turn { id, verb, text, shape, began, deadline: began + route.statement_timeout };
        match std::mem::take(&mut self.tx) {
            Transaction::None => self.single(&turn, &route).await,
            Transaction::Pending { read_only } => self.first(&turn, &route, read_only).await,
            Transaction::Open { lease, read_only, wrote } => {
                self.next(&turn, lease, read_only, wrote).await
            }
            Transaction::Relayed { .. } | Transaction::Failed => Ok(()),
        }
    }

    /// The position that reads need; `None` if only the primary will do.
    pub(super) fn required(&self, group: &Group, route: &Route, reads: bool) -> Option<Position> {
        if !reads {
            return None;
        }
        let covering = |age: Span| {
            let age = age.as_micros().saturating_sub(AGE_MARGIN.as_micros());
            group.covering(Span::from_micros(age))
        };
        match route.consistency {
            Consistency::Strong => None,
            Consistency::Bounded(age) => covering(age),
            Consistency::Session(age) => covering(age).map(|position| position.max(self.mark)),
        }
    }

    pub(super) async fn acquire(
        &mut self,
        group: &std::rc::Rc<Group>,
        turn: &Turn<'_>,
        route: &Route,
        requirement: Requirement,
    ) -> Result<Acquired, WireError> {
        if requirement == Requirement::Primary && group.lacks_grant() {
            return Ok(Acquired::NoGrant);
        }
        let req = self.cx.number();
        let rank = match route.priority {
            0 => Rank::Submission,
            1 => Rank::Lookup,
            _ => Rank::Report,
        };
        let request = Request {
            req,
            requirement,
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

    /// Sets a connection up; `Some` if that failed, with the connection to be closed.
    pub(super) async fn set_up(
        &mut self,
        lease: &mut Lease,
        shape: Option<&PreparedStatement>,
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
    pub(super) async fn ask(
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

    /// Passes a member's answer on.
    pub(crate) async fn deliver(
        &mut self,
        id: &str,
        began: Time,
        answer: &Answer,
    ) -> Result<(), WireError> {
        self.cx.shared.record_latency(clock::now().since(began));
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
}

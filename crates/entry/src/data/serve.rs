use std::{borrow::Cow, pin::pin, sync::Arc, time::Duration};

use adapter::{Code, Consistency, PreparedStatement, Route, Verb, own, write};
use base::{Position, Rank, Span, Time};
use futures_util::{future, future::Either};
use monoio::time;
use organisations::Organisation;
use pool::{Request, Requirement};
use table::{Policy, RowKey};
use wire::WireError;

use crate::{
    clock,
    data::{
        active_statement::{Acquired, ActiveStatement, AttemptOutcome},
        conn_lease::ConnLease,
        group::{Group, PoolReply},
        member_conn::{Answer, MemberError, SessionSetup},
        names::statement_name,
        retry_hint::with_retry,
        session::{Session, Transaction},
    },
    organisation_metrics::OrganisationCounter,
    shared::Counter,
    start_up::StartStep,
};

/// Subtracted from the age of data that a route accepts, for the network delay between the
/// caller and this daemon.
const AGE_MARGIN: Span = Span::from_millis(30);
/// Delay before a statement that did not run is retried.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(8);
/// Maximum number of attempts for one statement.
pub(super) const MAX_ATTEMPTS: u32 = 6;

/// Error text of a write that a member confirmed, when it may no longer have been the primary.
pub(super) const GRANT_LAPSED: &str =
    "the answer came when the primary was replaced or this daemon's grant had lapsed";

/// Error text of a statement that requires the primary while this daemon holds no grant; the
/// caller may succeed at another daemon.
const NO_GRANT: &str = "this daemon cannot tell at present who is primary";

/// Error text of a statement that this daemon would run by a configuration or members that may be
/// outdated; the caller may succeed at another daemon.
const OUTDATED_COPIES: &str = "this daemon's configuration may be outdated at present";

/// Error text of a transaction whose caller belongs to another organisation than at its beginning.
pub(super) const KEY_MOVED: &str = "the API key belongs to another organisation now";

/// Whether a caller still belongs to the organisation under whose name a transaction was begun.
pub(super) fn is_same_organisation(
    begun: &Option<Arc<Organisation>>,
    present: &Option<Arc<Organisation>>,
) -> bool {
    let name = |organisation: &Option<Arc<Organisation>>| {
        organisation.as_ref().map(|organisation| organisation.name.clone())
    };
    name(begun) == name(present)
}

/// Rank of the operations of a route.
pub(super) fn rank_of(route: &Route) -> Rank {
    match route.priority {
        0 => Rank::Submission,
        1 => Rank::Lookup,
        _ => Rank::Report,
    }
}

/// Weight of callers of public databases that belong to no organisation, beside organisations whose
/// weight is their rate times a factor of 1 to 4.
const PUBLIC_WEIGHT: u32 = 100;

/// Error text of an operation beyond the limit of its organisation.
pub(super) const OVER_LIMIT: &str = "the organisation has reached its limit";

/// Error text of a statement whose API key was revoked, or may have been, while it was queued.
const KEY_CHANGED: &str = "the API key may have been revoked while the statement was queued";

impl Session {
    /// Runs a statement that reads or writes data on a member, within the session's
    /// transaction if there is one.
    pub(crate) async fn run_data(
        &mut self,
        id: &str,
        verb: Verb,
        text: &str,
        prepared: Option<&PreparedStatement>,
    ) -> Result<(), WireError> {
        self.cx.shared.count(Counter::Statements);
        let received_at = clock::now();
        // A change of the route applies from the next transaction onward.
        let route = match &self.tx {
            Transaction::Open(open) => open.route.clone(),
            _ => match self.find_route().await {
                Ok((route, _)) => route,
                Err((code, reason)) => return self.fail(id, code, reason).await,
            },
        };
        let organisation = match self.identify(&route).await {
            Ok(organisation) => organisation,
            Err((code, reason)) => return self.fail(id, code, reason).await,
        };
        if let Transaction::Open(open) = &self.tx
            && !is_same_organisation(&open.organisation, &organisation)
        {
            return self.fail(id, Code::Aborted, KEY_MOVED).await;
        }
        let stmt = ActiveStatement {
            id,
            verb,
            text,
            prepared,
            organisation: organisation.as_ref(),
            received_at,
            deadline: self.cx.deadline(received_at + route.statement_timeout),
        };
        match std::mem::take(&mut self.tx) {
            Transaction::Open(open) => self.run_next(&stmt, open).await,
            Transaction::Relayed { .. } | Transaction::Failed => Ok(()),
            begun @ (Transaction::None | Transaction::Pending { .. }) => {
                self.run_operation(&stmt, &route, begun).await
            }
        }
    }

    /// Runs the first statement of an operation, which counts towards its organisation's limit
    /// unless nothing of it is run.
    pub(super) async fn run_operation(
        &mut self,
        stmt: &ActiveStatement<'_>,
        route: &Route,
        begun: Transaction,
    ) -> Result<(), WireError> {
        let token = match self.take_token(stmt.organisation, route.target).await {
            Ok(token) => token,
            Err(wait) => {
                self.count_refusal(stmt, OrganisationCounter::RefusedQuota);
                if matches!(begun, Transaction::Pending { .. }) {
                    self.tx = Transaction::Failed;
                }
                let reason = with_retry(OVER_LIMIT, wait);
                return self.fail(stmt.id, Code::Busy, &reason).await;
            }
        };
        self.runs = 0;
        let result = match begun {
            Transaction::Pending { read_only } => self.run_first(stmt, route, read_only).await,
            _ => self.run_single(stmt, route).await,
        };
        if self.runs == 0 {
            self.refund(token);
        }
        result
    }

    /// Counts a refused statement for its organisation.
    fn count_refusal(&self, stmt: &ActiveStatement<'_>, counter: OrganisationCounter) {
        if let Some(organisation) = stmt.organisation {
            self.cx.shared.count_for(&organisation.name, counter);
        }
    }

    /// The position that a member must have reached to serve the request; `None` if only the
    /// primary can serve it.
    pub(super) fn required(&self, group: &Group, route: &Route, reads: bool) -> Option<Position> {
        if !reads {
            return None;
        }
        let at_age = |age: Span| {
            let age = age.as_micros().saturating_sub(AGE_MARGIN.as_micros());
            group.position_covering(Span::from_micros(age))
        };
        match route.consistency {
            Consistency::Strong => None,
            Consistency::Bounded(age) => at_age(age),
            Consistency::Session(age) => at_age(age).map(|position| position.max(self.last_write)),
        }
    }

    /// Requests a connection to a member that meets the requirement, and waits until the pool
    /// assigns one or rejects the request; fails if the caller disconnects in the meantime.
    pub(super) async fn acquire(
        &mut self,
        group: &std::rc::Rc<Group>,
        stmt: &ActiveStatement<'_>,
        route: &Route,
        requirement: Requirement,
    ) -> Result<Acquired, WireError> {
        if clock::now() >= self.cx.shared.copies_expiry() {
            return Ok(Acquired::Elsewhere(OUTDATED_COPIES));
        }
        if requirement == Requirement::Primary && group.lacks_grant() {
            return Ok(Acquired::Elsewhere(NO_GRANT));
        }
        let req = self.cx.number();
        let weight = match stmt.organisation {
            Some(organisation) => organisation.weight(),
            None if self.cx.has_organisations() => PUBLIC_WEIGHT,
            None => Policy::default().weight,
        };
        let rank = rank_of(route);
        let key = RowKey { name: self.database.clone(), rank };
        let organisation = self.cx.organisation_id(stmt.organisation);
        let request = Request {
            req,
            requirement,
            key: key.clone(),
            organisation,
            policy: Policy { target: Some(route.target), weight, ..Policy::default() },
            since: stmt.received_at,
            deadline: stmt.deadline,
        };
        let mut granted = group.acquire(request);
        let ended = loop {
            let caller_input = async {
                if self.conn.buffered() > 0 {
                    // The caller is connected and has sent more, which stays buffered until
                    // this request is answered.
                    future::pending::<()>().await;
                }
                self.conn.fill().await
            };
            match future::select(&mut granted, pin!(caller_input)).await {
                Either::Left((Ok(PoolReply::Conn(lease)), _)) => break Ok(Ok(lease)),
                Either::Left((Ok(PoolReply::Refused(reason)), _)) => break Ok(Err(reason)),
                Either::Left((Err(_), _)) => {
                    return Ok(Acquired::Refused("the daemon ends".into()));
                }
                Either::Right((Ok(()), _)) => {}
                Either::Right((Err(error), _)) => break Err(error),
            }
        };
        match ended {
            Ok(Ok(lease)) if self.may_still_start(stmt.organisation, route) => {
                Ok(Acquired::Lease(lease))
            }
            Ok(Err(reason)) => {
                self.count_refusal(stmt, OrganisationCounter::RefusedQueue);
                let wait = group.expected_wait(requirement, organisation, &key);
                let reason = wait.map_or(reason.into(), |wait| with_retry(reason, wait).into());
                Ok(Acquired::Refused(reason))
            }
            Ok(Ok(lease)) => {
                lease.release();
                self.count_refusal(stmt, OrganisationCounter::RefusedKey);
                Ok(Acquired::Refused(KEY_CHANGED.into()))
            }
            Err(disconnect) => {
                group.cancel(req);
                let reason = "the caller disconnected while the request was queued";
                self.log_outcome(stmt.id, "none", reason);
                Err(disconnect)
            }
        }
    }

    /// Sets up a connection for the session. Returns `Some` on failure; the caller must then
    /// close the connection.
    pub(super) async fn set_up(
        &mut self,
        lease: &mut ConnLease,
        prepared: Option<&PreparedStatement>,
        begin: Option<(&'static str, Option<Position>)>,
    ) -> Option<AttemptOutcome> {
        let prepared =
            prepared.map(|prepared| (self.cx.names.borrow_mut().number(prepared), prepared));
        let setup = SessionSetup { params: &self.params, prepared, begin };
        let result = match lease.conn() {
            Ok(conn) => conn.set_up(&setup).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(()) => None,
            Err(MemberError::Refused { code, .. }) => {
                if let (Code::Lagging, Some((_, Some(required)))) = (code, begin) {
                    lease.record_behind(required);
                }
                let code = if code.not_run() { code } else { Code::Busy };
                Some(AttemptOutcome::NotRun(code, "the member refused to begin"))
            }
            Err(_) => Some(AttemptOutcome::NotRun(Code::Busy, "the member did not answer")),
        }
    }

    /// Sends a statement and reads its answer; fails if it takes longer than `limit`.
    pub(super) async fn run_on_member(
        &mut self,
        stmt: &ActiveStatement<'_>,
        lease: &mut ConnLease,
        after: Option<Position>,
        limit: Span,
    ) -> Result<Answer, MemberError> {
        let text = match stmt.prepared {
            Some(prepared) => {
                let name = statement_name(self.cx.names.borrow_mut().number(prepared));
                Cow::Owned(own::execute(&name, stmt.text))
            }
            None => Cow::Borrowed(stmt.text),
        };
        lease.begin_statement();
        let after = after.filter(|position| *position > Position::default());
        let conn = lease.conn()?;
        self.runs += 1;
        let memory = self.answer_memory();
        let run = async {
            conn.send(stmt.id, after, &text).await?;
            conn.read_answer(memory).await
        };
        let limit = Duration::from_micros(limit.as_micros());
        let answer = time::timeout(limit, run).await.unwrap_or(Err(MemberError::Silent))?;
        lease.end_statement(Some(&answer));
        Ok(answer)
    }

    /// Forwards the answer of a member or carrier to the caller.
    pub(crate) async fn deliver(
        &mut self,
        id: &str,
        received_at: Time,
        answer: &Answer,
    ) -> Result<(), WireError> {
        if answer.result.is_ok() {
            self.cx.shared.record_start_step(StartStep::Answer);
        }
        self.cx.shared.record_latency(clock::now().since(received_at));
        if let Err((code, text)) = &answer.result {
            // Only a carrier answers so; it has ended its session.
            self.is_ending |= *code == Code::NoAuth;
            self.log_outcome(id, code.as_str(), &format!("error from member or carrier: {text}"));
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

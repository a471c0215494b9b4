use std::time::Duration;

use adapter::{Code, Route, TransactionState, Verb};
use base::{Position, Span};
use monoio::time;
use wire::WireError;

use crate::{
    clock,
    data::{
        active_statement::{Acquired, ActiveStatement, AttemptOutcome},
        answer_memory::AnswerMemory,
        conn_lease::ConnLease,
        group::requirement_for,
        member_conn::{Answer, MemberError},
        serve::{GRANT_LAPSED, MAX_ATTEMPTS, RETRY_DELAY},
        session::Session,
    },
    shared::Counter,
};

/// Shortest time that an attempt to read waits for the answer before the read is retried,
/// possibly on another member. If the statement's deadline comes earlier, the wait ends then.
const MIN_READ_TIMEOUT: Span = Span::from_millis(250);
/// How long a member's answer is still awaited after the attempt has timed out.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Session {
    /// Runs a single statement, that is one outside a transaction. A failed attempt is repeated
    /// if the statement cannot have run or if it only reads, until the deadline and for at most
    /// [`MAX_ATTEMPTS`] attempts.
    pub(super) async fn run_single(
        &mut self,
        stmt: &ActiveStatement<'_>,
        route: &Route,
    ) -> Result<(), WireError> {
        let reads = stmt.verb == Verb::Fetch;
        let group = self.cx.group(&route.group);
        let mut required = self.required(&group, route, reads);
        self.cx.retry_budget.borrow_mut().record_request();
        let mut attempts = 0;
        loop {
            attempts += 1;
            let lease = match self.acquire(&group, stmt, route, requirement_for(required)).await? {
                Acquired::Lease(lease) => lease,
                Acquired::Refused(reason) => return self.fail(stmt.id, Code::Busy, &reason).await,
                Acquired::Elsewhere(reason) => {
                    return self.fail(stmt.id, Code::ReadOnly, reason).await;
                }
            };
            let outcome = self.attempt_single(stmt, route, lease, required).await;
            let (code, reason) = match outcome {
                AttemptOutcome::Answered(lease, answer) => {
                    return self.deliver_single(stmt, lease, answer).await;
                }
                AttemptOutcome::Unknown(reason) if !reads => {
                    return self.fail(stmt.id, Code::InDoubt, reason).await;
                }
                AttemptOutcome::Unknown(reason) => (Code::Timeout, reason),
                AttemptOutcome::NotRun(code, reason) => (code, reason),
            };
            if code == Code::Lagging && attempts > 1 {
                // `None` means that only the primary can serve the read.
                required = None;
            }
            let in_time = clock::now() < stmt.deadline;
            if !in_time || attempts >= MAX_ATTEMPTS || !self.take_retry(code) {
                return self.fail(stmt.id, caller_code(code), reason).await;
            }
            // The unanswered attempt may have run, so the next one counts besides.
            if code == Code::Timeout
                && self.take_token(stmt.organisation, route.target).await.is_err()
            {
                return self.fail(stmt.id, code, reason).await;
            }
            self.cx.shared.count(Counter::Retried);
            if code != Code::Lagging {
                time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Whether a failed attempt may be retried. A retry after a missing answer makes members
    /// do the work twice, so it is taken from the retry budget; other retries are not limited.
    fn take_retry(&self, code: Code) -> bool {
        code != Code::Timeout || self.cx.retry_budget.borrow_mut().take()
    }

    /// Makes one attempt to run a single statement on the leased connection. `required` is the
    /// position that the member must have reached; `None` if only the primary can serve it.
    async fn attempt_single(
        &mut self,
        stmt: &ActiveStatement<'_>,
        route: &Route,
        mut lease: ConnLease,
        required: Option<Position>,
    ) -> AttemptOutcome {
        if lease.is_stale() {
            return AttemptOutcome::NotRun(Code::Busy, "the member closed the connection");
        }
        if let Some(outcome) = self.set_up(&mut lease, stmt.prepared, None).await {
            lease.fail();
            return outcome;
        }
        if required.is_none() && !lease.may_use_primary() {
            lease.release();
            return AttemptOutcome::NotRun(Code::Busy, "a change of primary is under way");
        }
        let reads = stmt.verb == Verb::Fetch;
        let remaining = stmt.deadline.since(clock::now());
        let read_timeout = Span::from_micros(route.target.as_micros() / 2).max(MIN_READ_TIMEOUT);
        let limit = if reads { read_timeout.min(remaining) } else { remaining };
        match self.run_on_member(stmt, &mut lease, required, limit).await {
            Ok(answer) => self.classify_answer(stmt.id, lease, answer, required),
            Err(MemberError::Silent) => {
                read_late_answer(lease);
                AttemptOutcome::Unknown("the member did not answer in time")
            }
            Err(MemberError::NoMemory) => AttemptOutcome::Unknown("no memory for the answer"),
            Err(_) => {
                lease.fail();
                AttemptOutcome::Unknown("the connection broke before the answer came")
            }
        }
    }

    /// Decides whether a member's answer is final. Errors that show that the statement did not run
    /// release the connection, and the statement can be retried.
    fn classify_answer(
        &mut self,
        id: &str,
        mut lease: ConnLease,
        answer: Answer,
        required: Option<Position>,
    ) -> AttemptOutcome {
        let Err((code, _)) = &answer.result else { return AttemptOutcome::Answered(lease, answer) };
        let code = *code;
        if !code.not_run() {
            return AttemptOutcome::Answered(lease, answer);
        }
        self.runs = self.runs.saturating_sub(1);
        match (code, required) {
            (Code::Lagging, Some(required)) => lease.record_behind(required),
            (Code::NoStatement, _) => {
                if let Ok(conn) = lease.conn() {
                    conn.clear_prepared();
                }
            }
            _ => {}
        }
        logs::event(
            "member rejected statement",
            &serde_json::json!({"request": id, "group": lease.group(), "member": lease.member,
                "code": code.as_str(), "required": required.map(|it| it.to_string()),
                "position": answer.position.map(|it| it.to_string())}),
        );
        lease.release();
        let reason = match code {
            Code::Lagging => "the replicas are behind",
            Code::ReadOnly => "the member does not lead any more",
            _ => "the member is full",
        };
        AttemptOutcome::NotRun(code, reason)
    }

    /// Sends the answer to a single statement to the caller and releases the connection.
    async fn deliver_single(
        &mut self,
        stmt: &ActiveStatement<'_>,
        lease: ConnLease,
        answer: Answer,
    ) -> Result<(), WireError> {
        let wrote = stmt.verb == Verb::Store && answer.result.is_ok();
        if wrote && !lease.may_use_primary() {
            lease.release();
            return self.fail(stmt.id, Code::InDoubt, GRANT_LAPSED).await;
        }
        if wrote {
            self.last_write = self.last_write.max(answer.position.unwrap_or_default());
        } else {
            // A write that the member answered with an error is counted as a read, too.
            let on_primary = lease.on_primary();
            let counter = if on_primary { Counter::PrimaryReads } else { Counter::ReplicaReads };
            self.cx.shared.count(counter);
        }
        if answer.state == TransactionState::Idle {
            lease.release();
        } else {
            lease.fail();
        }
        self.deliver(stmt.id, stmt.received_at, &answer).await
    }
}

/// The code that a caller gets for a statement that members refused to run, or for a read that
/// they did not answer. Statements sent to the wrong member and prepared statements that the
/// member does not know are internal to the proxy, so the caller sees them as a lack of
/// capacity.
fn caller_code(code: Code) -> Code {
    match code {
        Code::Misrouted | Code::NoStatement => Code::Busy,
        code => code,
    }
}

/// Waits in the background for an answer that did not arrive in time and discards it, so that
/// the connection can be reused. The slot at the member is freed at once.
fn read_late_answer(lease: ConnLease) {
    monoio::spawn(async move {
        let mut lease = lease;
        lease.release_slot();
        let answer = match lease.conn() {
            Ok(conn) => {
                time::timeout(LATE_ANSWER_TIMEOUT, conn.read_answer(AnswerMemory::Discarded)).await
            }
            Err(_) => return,
        };
        match answer {
            Ok(Ok(answer)) if answer.state == TransactionState::Idle => {
                lease.end_statement(Some(&answer));
                lease.release();
            }
            _ => lease.fail(),
        }
    });
}

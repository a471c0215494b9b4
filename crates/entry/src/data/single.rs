use std::time::Duration;

use adapter::{Code, Route, TransactionState, Verb};
use base::{Position, Span};
use monoio::time;
use wire::WireError;

use crate::{
    clock,
    data::{
        group::{Group, need_of},
        lease::Lease,
        member_conn::{Answer, MemberError},
        serve::{LATE_FOR_GRANT, MAX_TRIES, NO_GRANT, RETRY_PAUSE},
        session::Session,
        turn::{Acquired, Tried, Turn},
    },
    shared::Counter,
};

/// Shortest time after which a read that is not answered is tried elsewhere.
const LEAST_PATIENCE: Span = Span::from_millis(250);
/// How long an answer is still read that nobody waits for any more.
const DRAIN_LIMIT: Duration = Duration::from_millis(1_500);

impl Session {
    /// Runs a statement outside of a transaction.
    pub(super) async fn single(&mut self, turn: &Turn<'_>, route: &Route) -> Result<(), WireError> {
        let reads = turn.verb == Verb::Fetch;
        let group = self.cx.group(&route.group);
        let mut required = self.required(&group, route, reads);
        self.cx.retries.borrow_mut().record_request();
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
        if answer.state == TransactionState::Idle {
            lease.give_back();
        } else {
            lease.fail();
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
            Ok(Ok(answer)) if answer.state == TransactionState::Idle => {
                lease.end_statement(Some(&answer));
                lease.give_back();
            }
            _ => lease.fail(),
        }
    });
}

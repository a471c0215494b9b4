use adapter::{Code, Route, TransactionState, Verb, own};
use base::Position;
use monoio::time;
use wire::WireError;

use crate::{
    clock,
    data::{
        group::need_of,
        lease::Lease,
        serve::{LATE_FOR_GRANT, MAX_TRIES, NO_GRANT, RETRY_PAUSE},
        session::{Session, Transaction, roll_back},
        turn::{Acquired, Tried, Turn},
    },
};

/// Why a transaction ends whose member lacks a name that the caller has prepared.
const NAME_LOST: &str = "the member lacks a prepared name";

impl Session {
    /// Begins a transaction on a member with its first statement.
    pub(super) async fn first(
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
    pub(super) async fn next(
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
            TransactionState::Open => self.tx = Transaction::Open { lease, read_only, wrote },
            TransactionState::Failed => {
                roll_back(lease);
                self.tx = Transaction::Failed;
            }
            TransactionState::Idle => lease.give_back(),
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
            deadline: began + route.statement_timeout,
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
        if answer.state == TransactionState::Idle {
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

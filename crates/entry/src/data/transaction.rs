use adapter::{Code, Route, TransactionState, Verb, own};
use base::Position;
use monoio::time;
use wire::WireError;

use crate::{
    clock,
    data::{
        active_statement::{Acquired, ActiveStatement, AttemptOutcome},
        group::requirement_for,
        serve::{GRANT_LAPSED, KEY_MOVED, MAX_ATTEMPTS, RETRY_DELAY, is_same_organisation},
        session::{OpenTransaction, Session, Transaction, roll_back},
    },
};

/// Error text of a transaction whose member no longer knows a prepared statement.
const PREPARED_NAME_MISSING: &str = "the member lacks a prepared name";

impl Session {
    /// Begins a transaction on a member and runs its first statement there.
    pub(super) async fn run_first(
        &mut self,
        stmt: &ActiveStatement<'_>,
        route: &Route,
        read_only: bool,
    ) -> Result<(), WireError> {
        let group = self.cx.group(&route.group);
        let mut required = self.required(&group, route, read_only);
        let mut attempts = 0;
        let lease = loop {
            attempts += 1;
            let mut lease =
                match self.acquire(&group, stmt, route, requirement_for(required)).await? {
                    Acquired::Lease(lease) => lease,
                    Acquired::Refused(reason) => {
                        self.tx = Transaction::Failed;
                        return self.fail(stmt.id, Code::Busy, &reason).await;
                    }
                    Acquired::Elsewhere(reason) => {
                        self.tx = Transaction::Failed;
                        return self.fail(stmt.id, Code::ReadOnly, reason).await;
                    }
                };
            let begin = own::begin(read_only);
            let after = required.filter(|position| *position > Position::default());
            let outcome = if lease.is_stale() {
                Some(AttemptOutcome::NotRun(Code::Busy, "the member closed the connection"))
            } else if required.is_none() && !lease.may_use_primary() {
                Some(AttemptOutcome::NotRun(Code::Busy, "a change of primary is under way"))
            } else {
                self.set_up(&mut lease, stmt.prepared, Some((begin, after))).await
            };
            let Some(outcome) = outcome else { break lease };
            drop(lease);
            let (code, reason) = match outcome {
                AttemptOutcome::NotRun(code, reason) => (code, reason),
                _ => (Code::Busy, "the member did not answer"),
            };
            if code == Code::Lagging && attempts > 1 {
                // `None` means that only the primary can serve the transaction.
                required = None;
            }
            if clock::now() >= stmt.deadline || attempts >= MAX_ATTEMPTS {
                self.tx = Transaction::Failed;
                return self.fail(stmt.id, Code::Busy, reason).await;
            }
            if code != Code::Lagging {
                time::sleep(RETRY_DELAY).await;
            }
        };
        let organisation = stmt.organisation.cloned();
        let open =
            OpenTransaction { lease, route: route.clone(), organisation, read_only, wrote: false };
        self.run_next(stmt, open).await
    }

    /// Runs a statement of a transaction that is open on a member.
    pub(super) async fn run_next(
        &mut self,
        stmt: &ActiveStatement<'_>,
        open: OpenTransaction,
    ) -> Result<(), WireError> {
        let OpenTransaction { mut lease, route, organisation, read_only, wrote } = open;
        if let Some(outcome) = self.set_up(&mut lease, stmt.prepared, None).await {
            drop(lease);
            self.tx = Transaction::Failed;
            let reason = match outcome {
                AttemptOutcome::NotRun(_, reason) | AttemptOutcome::Unknown(reason) => reason,
                AttemptOutcome::Answered(..) => "the member did not answer",
            };
            return self.fail(stmt.id, Code::Aborted, reason).await;
        }
        let remaining = stmt.deadline.since(clock::now());
        let answer = match self.run_on_member(stmt, &mut lease, None, remaining).await {
            Ok(answer) => answer,
            Err(error) => {
                // Closing the connection rolls back the transaction.
                lease.end_failed(&error);
                self.tx = Transaction::Failed;
                return self.fail(stmt.id, Code::Aborted, &error.to_string()).await;
            }
        };
        if let Err((Code::NoStatement, _)) = &answer.result {
            roll_back(lease);
            self.tx = Transaction::Failed;
            return self.fail(stmt.id, Code::Aborted, PREPARED_NAME_MISSING).await;
        }
        let wrote = wrote || stmt.verb == Verb::Store;
        match answer.state {
            TransactionState::Open => {
                let open = OpenTransaction { lease, route, organisation, read_only, wrote };
                self.tx = Transaction::Open(open);
            }
            TransactionState::Failed => {
                roll_back(lease);
                self.tx = Transaction::Failed;
            }
            TransactionState::Idle => lease.release(),
        }
        self.deliver(stmt.id, stmt.received_at, &answer).await
    }

    /// Commits the transaction.
    pub(crate) async fn commit(&mut self, id: &str) -> Result<(), WireError> {
        let received_at = clock::now();
        let route = match &self.tx {
            Transaction::Open(open) => Some(open.route.clone()),
            Transaction::Pending { .. } => self.cx.route(&self.database).map(|(route, _)| route),
            _ => None,
        };
        let organisation = match &route {
            Some(route) => match self.identify(route).await {
                Ok(organisation) => organisation,
                Err((Code::NoAuth, reason)) => return self.fail(id, Code::NoAuth, reason).await,
                Err((_, reason)) => return self.fail_commit(id, reason).await,
            },
            None => None,
        };
        let commit_by = |route: &Route, organisation| ActiveStatement {
            id,
            verb: Verb::Fetch,
            text: own::COMMIT,
            prepared: None,
            organisation,
            received_at,
            deadline: self.cx.deadline(received_at + route.statement_timeout),
        };
        match std::mem::take(&mut self.tx) {
            Transaction::None => self.fail(id, Code::Malformed, "no transaction is open").await,
            Transaction::Relayed { .. } | Transaction::Failed => {
                self.fail(id, Code::Aborted, "the transaction failed").await
            }
            Transaction::Pending { read_only } => {
                let Some(route) = route else {
                    return self.fail(id, Code::Aborted, "no database of that name any more").await;
                };
                // An empty transaction is begun and committed on a member all the same, for the
                // member's signature.
                let stmt = commit_by(&route, organisation.as_ref());
                self.run_operation(&stmt, &route, Transaction::Pending { read_only }).await?;
                if matches!(self.tx, Transaction::Failed) {
                    self.tx = Transaction::None;
                }
                Ok(())
            }
            Transaction::Open(open) if !is_same_organisation(&open.organisation, &organisation) => {
                roll_back(open.lease);
                self.fail(id, Code::Aborted, KEY_MOVED).await
            }
            Transaction::Open(open) => {
                self.commit_open(&commit_by(&open.route, organisation.as_ref()), open).await
            }
        }
    }

    /// Rolls back the transaction instead of committing it.
    async fn fail_commit(&mut self, id: &str, reason: &str) -> Result<(), WireError> {
        self.abandon_transaction();
        self.tx = Transaction::None;
        self.fail(id, Code::Aborted, reason).await
    }

    async fn commit_open(
        &mut self,
        stmt: &ActiveStatement<'_>,
        open: OpenTransaction,
    ) -> Result<(), WireError> {
        let OpenTransaction { mut lease, read_only, wrote, .. } = open;
        let writes = wrote && !read_only;
        if writes && !lease.may_use_primary() {
            roll_back(lease);
            return self.fail(stmt.id, Code::Aborted, "the primary is being replaced").await;
        }
        let remaining = stmt.deadline.since(clock::now());
        let answer = match self.run_on_member(stmt, &mut lease, None, remaining).await {
            Ok(answer) => answer,
            Err(error) => {
                lease.end_failed(&error);
                let code = if writes { Code::InDoubt } else { Code::Aborted };
                return self.fail(stmt.id, code, &error.to_string()).await;
            }
        };
        let usable = lease.may_use_primary();
        if answer.state == TransactionState::Idle {
            lease.release();
        } else {
            roll_back(lease);
        }
        if answer.result.is_ok() && writes {
            if !usable {
                return self.fail(stmt.id, Code::InDoubt, GRANT_LAPSED).await;
            }
            self.last_write = self.last_write.max(answer.position.unwrap_or_default());
        }
        self.deliver(stmt.id, stmt.received_at, &answer).await
    }
}

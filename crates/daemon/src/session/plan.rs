use std::rc::Rc;

use base::{Rank, StatementKind};
use sql::{Analysis, PinReason, SettingChange, Statement};

use crate::session::{profile::Profile, statements::StatementRefs};

/// Execution requirements of a request, derived from its statements.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Whether it may run on a replica (read) or needs the primary (write).
    pub(crate) kind: StatementKind,
    /// Whether it may change data.
    pub(crate) may_write: bool,
    /// Whether it commits a transaction.
    pub(crate) commits: bool,
    /// Whether it commits or rolls back a transaction.
    pub(crate) ends_transaction: bool,
    /// Reason for which the session must keep the connection afterwards; `None` if
    /// it need not.
    pub(crate) pin_reason: Option<PinReason>,
    /// Changes of session settings, in statement order.
    pub(crate) settings: Vec<SettingChange>,
    /// Rank given in a comment hint.
    pub(crate) rank: Option<Rank>,
    /// Idempotency key given in a comment hint.
    pub(crate) idempotency_key: Option<String>,
    /// Whether it executes at least one statement.
    pub(crate) executes: bool,
    /// Whether the daemon answers it without an upstream.
    pub(crate) local: bool,
    /// Whether it must be refused, since its hints cannot be told.
    pub(crate) is_too_complex: bool,
}

impl Plan {
    /// Creates the plan for a simple query.
    pub(crate) fn simple(analysis: &Analysis) -> Plan {
        Plan::new(std::slice::from_ref(&analysis), analysis.kind(), is_local(analysis))
    }

    /// Creates the plan for extended-protocol messages.
    ///
    /// Messages that execute nothing only read the catalogue. Messages that end with
    /// a Flush count as a write, since the rest of the request is not known yet.
    pub(crate) fn extended(refs: &StatementRefs, synced: bool) -> Plan {
        let reads = refs.executed.iter().all(|it| it.kind() == StatementKind::Read);
        let kind = if reads && synced { StatementKind::Read } else { StatementKind::Write };
        let local = !refs.referenced.is_empty()
            && synced
            && refs.referenced.iter().all(|analysis| is_local(analysis));
        let executed: Vec<&Analysis> = refs.executed.iter().map(Rc::as_ref).collect();
        let mut plan = Plan::new(&executed, kind, local);
        plan.may_write |= !synced;
        plan
    }

    fn new(analyses: &[&Analysis], kind: StatementKind, local: bool) -> Plan {
        let statements = || analyses.iter().flat_map(|analysis| &analysis.statements);
        let commits = statements().any(|it| matches!(it, Statement::Commit));
        let rolls_back = statements().any(|it| matches!(it, Statement::Rollback));
        let rank_hint = analyses.iter().find_map(|analysis| analysis.hints.rank.as_deref());
        let settings = statements().filter_map(|it| match it {
            Statement::Setting(change) => Some(change.clone()),
            _ => None,
        });
        Plan {
            kind,
            may_write: analyses.iter().any(|analysis| analysis.may_write()),
            commits,
            ends_transaction: commits || rolls_back,
            pin_reason: analyses.iter().find_map(|analysis| analysis.pin_reason()),
            settings: settings.collect(),
            idempotency_key: analyses.iter().find_map(|it| it.hints.idempotency_key.clone()),
            executes: !analyses.is_empty(),
            rank: rank_hint.and_then(|text| text.parse().ok()),
            local,
            is_too_complex: analyses.iter().any(|it| it.is_too_complex),
        }
    }

    /// Whether the request must not be retried once it may have run.
    pub(crate) fn must_not_repeat(&self) -> bool {
        self.may_write || self.commits || self.kind == StatementKind::Write
    }
}

fn is_local(analysis: &Analysis) -> bool {
    match analysis.statements.as_slice() {
        [Statement::Setting(SettingChange::Set { name, .. } | SettingChange::Reset { name })]
        | [Statement::Show { name }] => Profile::is_own(name),
        _ => false,
    }
}

use std::rc::Rc;

use base::{Rank, StatementKind};
use sql::{Analysis, PinReason, SettingChange, Statement};

use crate::session::{profile::Profile, statements::Touched};

/// What a request needs, read off its statements.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Where it may run.
    pub(crate) kind: StatementKind,
    /// Whether its effect on the data may last.
    pub(crate) may_write: bool,
    /// Whether it ends a transaction, keeping its writes.
    pub(crate) commits: bool,
    /// Whether it ends a transaction either way.
    pub(crate) ends_transaction: bool,
    /// Why the connection must be kept afterwards.
    pub(crate) pin: Option<PinReason>,
    /// Changes of settings, in order.
    pub(crate) settings: Vec<SettingChange>,
    /// Rank given in a comment.
    pub(crate) rank: Option<Rank>,
    /// Idempotency key given in a comment.
    pub(crate) idempotency_key: Option<String>,
    /// Whether it executes anything.
    pub(crate) executes: bool,
    /// Answered by the daemon itself.
    pub(crate) local: bool,
}

impl Plan {
    /// The plan for a simple query.
    pub(crate) fn simple(analysis: &Analysis) -> Plan {
        Plan::of(std::slice::from_ref(&analysis), analysis.kind(), is_local(analysis))
    }

    /// The plan for messages of the extended protocol.
    ///
    /// Messages that execute nothing only read the catalogue. After a flush
    /// nobody knows yet what follows, so it counts as a write.
    pub(crate) fn extended(touched: &Touched, synced: bool) -> Plan {
        let reads = touched.executed.iter().all(|it| it.kind() == StatementKind::Read);
        let kind = if reads && synced { StatementKind::Read } else { StatementKind::Write };
        let local = !touched.mentioned.is_empty()
            && synced
            && touched.mentioned.iter().all(|analysis| is_local(analysis));
        let executed: Vec<&Analysis> = touched.executed.iter().map(Rc::as_ref).collect();
        let mut plan = Plan::of(&executed, kind, local);
        plan.may_write |= !synced;
        plan
    }

    fn of(analyses: &[&Analysis], kind: StatementKind, local: bool) -> Plan {
        let statements = || analyses.iter().flat_map(|analysis| &analysis.statements);
        let commits = statements().any(|it| matches!(it, Statement::Commit));
        let rolls_back = statements().any(|it| matches!(it, Statement::Rollback));
        let hint = analyses.iter().find_map(|analysis| analysis.hints.rank.as_deref());
        let settings = statements().filter_map(|it| match it {
            Statement::Setting(change) => Some(change.clone()),
            _ => None,
        });
        Plan {
            kind,
            may_write: analyses.iter().any(|analysis| analysis.may_write()),
            commits,
            ends_transaction: commits || rolls_back,
            pin: analyses.iter().find_map(|analysis| analysis.pin_reason()),
            settings: settings.collect(),
            idempotency_key: analyses.iter().find_map(|it| it.hints.idempotency_key.clone()),
            executes: !analyses.is_empty(),
            rank: hint.and_then(|text| text.parse().ok()),
            local,
        }
    }

    /// Whether the request must not be submitted again once it may have run.
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

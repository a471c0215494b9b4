use base::StatementKind;

use crate::{hints::Hints, pin::PinReason, statement::Statement};

/// What the text of a request says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Analysis {
    /// Statements in order; empty for an empty request.
    pub statements: Vec<Statement>,
    /// Whether the parser understood the whole text.
    pub fully_parsed: bool,
    /// Hints given in comments.
    pub hints: Hints,
}

impl Analysis {
    /// The kind of the request as a whole: a read if every statement only reads.
    pub fn kind(&self) -> StatementKind {
        let reads = self.statements.iter().all(is_read);
        if reads && self.fully_parsed { StatementKind::Read } else { StatementKind::Write }
    }

    /// Whether the request may write.
    ///
    /// Opening a transaction writes nothing by itself.
    pub fn may_write(&self) -> bool {
        let writes = |statement: &Statement| matches!(statement, Statement::Write);
        !self.fully_parsed || self.statements.iter().any(writes)
    }

    /// Whether the request opens a transaction.
    pub fn begins_transaction(&self) -> bool {
        self.statements.iter().any(|statement| matches!(statement, Statement::Begin { .. }))
    }

    /// The first reason to keep the connection, if any.
    pub fn pin_reason(&self) -> Option<PinReason> {
        self.statements.iter().find_map(|statement| match statement {
            Statement::Pin(reason) => Some(*reason),
            _ => None,
        })
    }
}

fn is_read(statement: &Statement) -> bool {
    matches!(
        statement,
        Statement::Read | Statement::Show { .. } | Statement::Begin { read_only: true }
    )
}

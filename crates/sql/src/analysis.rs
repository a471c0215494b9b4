use base::StatementKind;

use crate::{hints::Hints, pin::PinReason, statement::Statement};

/// Result of analyzing the SQL text of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Analysis {
    /// Classified statements in order of execution; empty for an empty request.
    pub statements: Vec<Statement>,
    /// Whether the parser accepted the whole text.
    pub fully_parsed: bool,
    /// Hints found in the comments.
    pub hints: Hints,
    /// Whether the text is too long to be parsed, and it cannot be told which hints it has. It must
    /// be refused.
    pub is_too_complex: bool,
}

impl Analysis {
    /// Kind of the whole request: a read only if the text was fully parsed and
    /// every statement is a read.
    pub fn kind(&self) -> StatementKind {
        let reads = self.statements.iter().all(is_read);
        if reads && self.fully_parsed { StatementKind::Read } else { StatementKind::Write }
    }

    /// Whether the request itself may change data.
    ///
    /// `BEGIN` alone changes nothing, although [`Analysis::kind`] treats it as a
    /// write unless the transaction is read-only.
    pub fn may_write(&self) -> bool {
        let writes = |statement: &Statement| matches!(statement, Statement::Write);
        !self.fully_parsed || self.statements.iter().any(writes)
    }

    /// Whether any statement opens a transaction.
    pub fn begins_transaction(&self) -> bool {
        self.statements.iter().any(|statement| matches!(statement, Statement::Begin { .. }))
    }

    /// First reason to pin the connection to the session, if any.
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

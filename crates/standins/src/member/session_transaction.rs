use wire::{ParameterStatus, sqlstate};

use crate::member::{
    error::SqlError,
    session::{POSITION_PARAMETER, Session},
    transaction::Transaction,
};

impl Session {
    /// Opens an explicit transaction, or makes the implicit one explicit.
    pub(crate) fn begin(&mut self) -> Result<(), SqlError> {
        match &mut self.transaction {
            Some(transaction) => transaction.explicit = true,
            None => {
                let mut transaction = self.new_transaction();
                transaction.explicit = true;
                self.transaction = Some(transaction);
            }
        }
        self.check_term()
    }

    pub(crate) fn new_transaction(&mut self) -> Transaction {
        self.refresh_connection();
        Transaction { generation: self.generation, ..Transaction::default() }
    }

    /// Fails if the session expects the member in another term than its current one. Statements are
    /// checked before they run and transactions before they commit, so that nothing of an old term
    /// takes effect in a new one.
    pub(crate) fn check_term(&self) -> Result<(), SqlError> {
        let node = self.group.node(self.index).borrow();
        match self.term {
            Some(term) if term != node.term => {
                let message = format!("statement under term {term}, member at term {}", node.term);
                let detail = "The statement has not run.";
                Err(SqlError::new(sqlstate::STALE_TERM, message).with_detail(detail))
            }
            _ => Ok(()),
        }
    }

    /// Commits the transaction that was opened for this request, if there is one.
    pub(crate) async fn commit_implicit(&mut self) -> Result<(), SqlError> {
        match &self.transaction {
            Some(transaction) if !transaction.explicit => self.commit().await.map(|_| ()),
            _ => Ok(()),
        }
    }

    /// Ends the transaction. Returns false if it had failed and was rolled back.
    pub(crate) async fn commit(&mut self) -> Result<bool, SqlError> {
        let Some(transaction) = &self.transaction else { return Ok(true) };
        if transaction.failed {
            self.rollback();
            return Ok(false);
        }
        if self.is_down() {
            self.rollback();
            self.close_unanswered = true;
            return Ok(false);
        }
        if let Err(error) = self.check_commit() {
            self.rollback();
            return Err(error);
        }
        let Some(transaction) = self.transaction.take() else { return Ok(true) };
        if transaction.begun {
            self.db.execute_batch("COMMIT")?;
        }
        if transaction.logged.is_empty() {
            return Ok(true);
        }
        let mut node = self.group.node(self.index).borrow_mut();
        let position = node.commit(transaction.logged);
        self.close_unanswered = node.faults.lose_answer;
        node.faults.lose_answer = false;
        drop(node);
        let parameter = ParameterStatus::new(POSITION_PARAMETER.to_owned(), position.to_string());
        self.conn.queue(&parameter);
        Ok(true)
    }

    /// Checks that the member is still in a state in which the transaction can be committed.
    pub(crate) fn check_commit(&self) -> Result<(), SqlError> {
        self.check_term()?;
        let Some(transaction) = &self.transaction else { return Ok(()) };
        let node = self.group.node(self.index).borrow();
        if transaction.generation != node.engine.generation() {
            let message = "the member was rebuilt during the transaction";
            return Err(SqlError::new(sqlstate::SERIALIZATION_FAILURE, message));
        }
        if !transaction.logged.is_empty() && !node.primary {
            let message = "the member is no longer primary; the transaction was rolled back";
            return Err(SqlError::new(sqlstate::STALE_TERM, message));
        }
        Ok(())
    }

    pub(crate) fn rollback(&mut self) {
        let Some(transaction) = self.transaction.take() else { return };
        if transaction.begun {
            let _ = self.db.execute_batch("ROLLBACK");
        }
    }
}

use base::FastMap;
use rusqlite::types::Value;
use wire::{Bind, Parse};

use crate::member::{
    error::SqlError,
    response,
    statement::{self, Statement},
    values,
};

/// Prepared statements and portals of a session, for the extended query protocol.
#[derive(Debug, Default)]
pub(crate) struct ExtendedQueryState {
    statements: FastMap<String, PreparedStatement>,
    portals: FastMap<String, Portal>,
}

/// A statement that a parse message has prepared.
#[derive(Clone, Debug)]
pub(crate) struct PreparedStatement {
    /// `None` if the text is empty.
    pub(crate) statement: Option<Statement>,
    /// Type OIDs of its parameters; may be shorter than the list of parameters.
    pub(crate) oids: Vec<u32>,
}

/// A prepared statement with bound parameters.
#[derive(Clone, Debug)]
pub(crate) struct Portal {
    pub(crate) statement: Option<Statement>,
    pub(crate) params: Vec<Value>,
    /// Format codes of the result's columns.
    pub(crate) formats: Vec<i16>,
}

impl ExtendedQueryState {
    pub(crate) fn parse(&mut self, msg: Parse) -> Result<(), SqlError> {
        let mut statements = statement::split(&msg.query)?;
        if statements.len() > 1 {
            return Err(SqlError::syntax("several statements cannot be prepared as one"));
        }
        let prepared = PreparedStatement { statement: statements.pop(), oids: msg.type_oids };
        self.statements.insert(msg.name.unwrap_or_default(), prepared);
        Ok(())
    }

    pub(crate) fn bind(&mut self, msg: &Bind) -> Result<(), SqlError> {
        let name = msg.statement_name.clone().unwrap_or_default();
        let prepared = self.statement(&name)?;
        let mut params = Vec::with_capacity(msg.parameters.len());
        for (index, bytes) in msg.parameters.iter().enumerate() {
            let oid = prepared.oids.get(index).copied().unwrap_or(values::oid::TEXT);
            let format = response::format_code(&msg.parameter_format_codes, index);
            params.push(values::decode_parameter(bytes.as_deref(), oid, format)?);
        }
        let portal = Portal {
            statement: prepared.statement.clone(),
            params,
            formats: msg.result_column_format_codes.clone(),
        };
        self.portals.insert(msg.portal_name.clone().unwrap_or_default(), portal);
        Ok(())
    }

    pub(crate) fn statement(&self, name: &str) -> Result<&PreparedStatement, SqlError> {
        let missing = || SqlError::new("26000", format!("no prepared statement {name:?}"));
        self.statements.get(name).ok_or_else(missing)
    }

    pub(crate) fn portal(&self, name: &str) -> Result<&Portal, SqlError> {
        self.portals.get(name).ok_or_else(|| SqlError::new("34000", format!("no portal {name:?}")))
    }

    pub(crate) fn close_statement(&mut self, name: &str) {
        self.statements.remove(name);
    }

    pub(crate) fn close_portal(&mut self, name: &str) {
        self.portals.remove(name);
    }
}

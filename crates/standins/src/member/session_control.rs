use base::{Position, Term};
use wire::sqlstate;

use crate::member::{
    control::ControlCall,
    error::SqlError,
    response::{self, Columns},
    session::{Session, TERM_SETTING},
};

impl Session {
    /// Runs a control call and queues its result. All calls but [`ControlCall::Statements`] return
    /// the member's status.
    pub(crate) fn control(&mut self, call: &ControlCall) -> Result<(), SqlError> {
        let mut node = self.group.node(self.index).borrow_mut();
        match call {
            ControlCall::Status => {}
            ControlCall::Statements => {
                let count = node.statements.to_string();
                drop(node);
                return self.queue_single_value("statements", &count);
            }
            ControlCall::Fence(term) => node.fence(*term),
            ControlCall::Promote(term) => {
                if !node.promote(*term) {
                    let message = format!("cannot be primary of term {term}: at {}", node.term);
                    return Err(SqlError::new(sqlstate::STALE_TERM, message));
                }
            }
            ControlCall::Follow(term) => {
                let term = *term;
                drop(node);
                self.group.repoint(self.index, term);
                node = self.group.node(self.index).borrow_mut();
            }
            ControlCall::Set { name, value } => {
                if !node.faults.set(name, *value) {
                    return Err(SqlError::syntax(format!("no fault named {name:?}")));
                }
                // Dropping a sender closes its session. Sessions that set faults have none.
                if node.faults.down {
                    node.close_senders.clear();
                }
            }
        }
        let term = node.term.to_string();
        let primary = if node.primary { "t" } else { "f" };
        // A primary reports the end of its log, a replica what it has applied.
        let position = node.applied_position().max(if node.primary {
            node.position()
        } else {
            Position::default()
        });
        let (position, origin) = (position.to_string(), node.origin.to_string());
        let end = node.position().to_string();
        drop(node);
        let names = ["term", "primary", "position", "origin", "log_end"];
        self.conn.queue(&Columns::text(&names).description(&[]));
        response::queue_text_row(&mut self.conn, &[&term, primary, &position, &origin, &end]);
        response::queue_complete(&mut self.conn, "SELECT 1");
        Ok(())
    }

    /// Queues a result of one row and one column.
    pub(crate) fn queue_single_value(&mut self, name: &str, value: &str) -> Result<(), SqlError> {
        self.conn.queue(&Columns::text(&[name]).description(&[]));
        response::queue_text_row(&mut self.conn, &[value]);
        response::queue_complete(&mut self.conn, "SELECT 1");
        Ok(())
    }

    /// Changes a setting and returns the command tag.
    pub(crate) fn set(&mut self, change: &sql::SettingChange) -> Result<String, SqlError> {
        match change {
            sql::SettingChange::Set { name, value } if name == TERM_SETTING => {
                let term = value.parse().map_err(|_| SqlError::syntax("a term is a number"))?;
                self.term = Some(Term::new(term));
            }
            sql::SettingChange::Set { name, value } => {
                self.settings.insert(name.clone(), value.clone());
            }
            sql::SettingChange::Reset { name } => {
                self.settings.remove(name);
                return Ok("RESET".to_owned());
            }
            sql::SettingChange::ResetAll => {
                self.settings.clear();
                return Ok("RESET".to_owned());
            }
        }
        Ok("SET".to_owned())
    }

    /// Queues the value of a setting, empty if it is not set, preceded by the row description if
    /// `describe`.
    pub(crate) fn show(&mut self, name: &str, describe: bool) {
        let value = match name {
            "server_version" => "15.0".to_owned(),
            _ => self.settings.get(name).cloned().unwrap_or_default(),
        };
        if describe {
            self.conn.queue(&Columns::text(&[name]).description(&[]));
        }
        response::queue_text_row(&mut self.conn, &[&value]);
    }
}

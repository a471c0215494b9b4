use crate::{pin::PinReason, setting::SettingChange};

/// Classification of one statement, limited to what routing needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Does not change data.
    Read,
    /// May change data.
    Write,
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is declared `READ ONLY`.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the whole transaction back, not only to a savepoint.
    Rollback,
    /// Changes session settings.
    Setting(SettingChange),
    /// Reads a setting with `SHOW`.
    Show {
        /// Name of the setting in lower case.
        name: String,
    },
    /// Leaves state on the connection, so that the session must keep using it.
    Pin(PinReason),
}

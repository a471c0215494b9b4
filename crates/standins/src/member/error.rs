use wire::sqlstate;

/// An error that a member sends to its client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SqlError {
    /// SQLSTATE.
    pub(crate) code: &'static str,
    pub(crate) message: String,
    /// Empty if there is no detail.
    pub(crate) detail: String,
}

impl SqlError {
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> SqlError {
        SqlError { code, message: message.into(), detail: String::new() }
    }

    pub(crate) fn with_detail(mut self, detail: impl Into<String>) -> SqlError {
        self.detail = detail.into();
        self
    }

    pub(crate) fn syntax(message: impl Into<String>) -> SqlError {
        SqlError::new(sqlstate::SYNTAX_ERROR, message)
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> SqlError {
        let message = error.to_string();
        let unique = rusqlite::ffi::ErrorCode::ConstraintViolation;
        let code = match error.sqlite_error_code() {
            Some(code) if code == unique => "23505",
            _ if message.contains("no such table") => "42P01",
            _ if message.contains("no such column") => "42703",
            _ if message.contains("no such function") => "42883",
            _ if message.contains("already exists") => "42P07",
            _ if message.contains("syntax error") => sqlstate::SYNTAX_ERROR,
            _ => sqlstate::INTERNAL_ERROR,
        };
        SqlError::new(code, message)
    }
}

/// Why an upstream connection must stay assigned to one caller's session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PinReason {
    /// `LISTEN` or `UNLISTEN`: notifications arrive only on the connection that
    /// subscribed.
    Notifications,
    /// A temporary table is visible only on the connection that created it.
    TemporaryTable,
    /// A session-level advisory lock belongs to the connection that acquired it.
    AdvisoryLock,
    /// A cursor declared `WITH HOLD` outlives its transaction.
    HoldCursor,
    /// A statement prepared with the SQL command `PREPARE` exists only on that
    /// connection.
    PreparedInSql,
    /// The text was too long to be parsed, and may leave any of the above on the connection.
    NotParsed,
}

impl PinReason {
    /// Short description for logs and error details.
    pub fn as_str(self) -> &'static str {
        match self {
            PinReason::Notifications => "notifications",
            PinReason::TemporaryTable => "temporary table",
            PinReason::AdvisoryLock => "session advisory lock",
            PinReason::HoldCursor => "cursor with hold",
            PinReason::PreparedInSql => "statement prepared in SQL",
            PinReason::NotParsed => "text too long to be parsed",
        }
    }
}

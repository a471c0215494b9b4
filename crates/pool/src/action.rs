use base::MemberId;

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run a request on an idle connection.
    Start {
        /// The request.
        req: u64,
        /// Where.
        member: MemberId,
        /// The connection.
        conn: u64,
    },
    /// Refuse a request; it has not run.
    Refuse {
        /// The request.
        req: u64,
        /// Why.
        reason: &'static str,
    },
    /// Open a connection.
    Open {
        /// Where.
        member: MemberId,
    },
    /// Close an idle connection.
    Close {
        /// The connection.
        conn: u64,
    },
}

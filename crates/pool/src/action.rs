use base::{MemberId, OrganisationId};

/// An action that the pool asks its caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run a request on a connection that was idle.
    Start {
        /// Number of the request.
        req: u64,
        /// Member that the connection leads to.
        member: MemberId,
        /// Number of the connection.
        conn: u64,
    },
    /// Refuse a request. It has not run.
    Refuse {
        /// Number of the request.
        req: u64,
        /// Reason that the caller is told.
        reason: &'static str,
    },
    /// Open a connection, and report the outcome to the pool.
    Open {
        /// Member to connect to.
        member: MemberId,
        /// Organisation that the connection is opened for, for its lifetime.
        organisation: OrganisationId,
    },
    /// Close an idle connection.
    Close {
        /// Number of the connection.
        conn: u64,
    },
}

use base::{CallerId, MemberId, Position, RequestId, StatementKind, Time};
use table::{Acknowledgement, Policy, RowKey};

/// A request that needs a member to run on.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Number of the request.
    pub req: RequestId,
    /// Caller that sent it, whose own writes it must observe.
    pub caller: CallerId,
    /// Name and rank of the request.
    pub key: RowKey,
    /// Weight, limits and consistency of the name and rank.
    pub policy: Policy,
    /// Whether it reads or writes.
    pub kind: StatementKind,
    /// Position from the caller's consistency token; `None` if the caller does not use tokens.
    pub token: Option<Position>,
    /// Position of the last write in the same session.
    pub session: Position,
    /// Time after which the caller no longer waits for the result.
    pub deadline: Time,
}

/// A statement bound to a connection that its session holds, such as one in a transaction.
#[derive(Clone, Debug)]
pub struct PinnedStatement {
    /// Number of the request.
    pub req: RequestId,
    /// Name and rank of the request.
    pub key: RowKey,
    /// Member to which the connection is open.
    pub member: MemberId,
}

/// A commit that waits to be acknowledged.
#[derive(Clone, Debug)]
pub struct Commit {
    /// Number of the request.
    pub req: RequestId,
    /// Caller whose write it is.
    pub caller: CallerId,
    /// Log position of the write.
    pub position: Position,
    /// How far it must be replicated before it is acknowledged.
    pub ack: Acknowledgement,
}

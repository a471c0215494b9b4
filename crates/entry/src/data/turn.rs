use adapter::{Code, PreparedStatement, Verb};
use base::Time;

use crate::data::{lease::Lease, member_conn::Answer};

/// A statement that a member must run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn<'a> {
    pub(super) id: &'a str,
    pub(super) verb: Verb,
    /// The caller's text, or the arguments of a prepared statement.
    pub(super) text: &'a str,
    pub(super) shape: Option<&'a PreparedStatement>,
    pub(super) began: Time,
    pub(super) deadline: Time,
}

/// How a try ended.
#[derive(Debug)]
pub(super) enum Tried {
    /// The member answered.
    Answered(Lease, Answer),
    /// It certainly did not run.
    NotRun(Code, &'static str),
    /// It may have run.
    Unknown(&'static str),
}

/// Outcome of asking for a connection.
#[derive(Debug)]
pub(super) enum Acquired {
    Lease(Lease),
    Refused(&'static str),
    /// This daemon cannot tell at present who is primary.
    NoGrant,
}

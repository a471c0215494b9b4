use std::{borrow::Cow, sync::Arc};

use adapter::{Code, PreparedStatement, Verb};
use base::Time;
use organisations::Organisation;

use crate::data::{conn_lease::ConnLease, member_conn::Answer};

/// A caller's statement while it is being executed on a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveStatement<'a> {
    pub(super) id: &'a str,
    pub(super) verb: Verb,
    /// The statement's text; the arguments if it executes a prepared statement.
    pub(super) text: &'a str,
    pub(super) prepared: Option<&'a PreparedStatement>,
    /// The organisation under whose name it runs.
    pub(super) organisation: Option<&'a Arc<Organisation>>,
    pub(super) received_at: Time,
    pub(super) deadline: Time,
}

/// Result of one attempt to run a statement on a member.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The member answered.
    Answered(ConnLease, Answer),
    /// The statement certainly did not run.
    NotRun(Code, &'static str),
    /// No answer was received; the statement may have run.
    Unknown(&'static str),
}

/// Result of requesting a connection for a statement.
#[derive(Debug)]
pub(super) enum Acquired {
    Lease(ConnLease),
    Refused(Cow<'static, str>),
    /// This daemon cannot run the statement at present; another one may.
    Elsewhere(&'static str),
}

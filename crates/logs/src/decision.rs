use base::{CallerId, GroupId, MemberId, Position, Rank, RequestId, Term};

/// Log record of a decision about a request or about the election of a primary. Fields that do
/// not apply are `None` and are left out.
#[derive(Debug)]
#[derive(serde::Serialize)]
pub struct Decision<'a> {
    /// What was decided, such as `dispatch`, `refuse` or `promote`.
    pub decision: &'a str,
    /// Identifier of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Caller that sent the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller: Option<&'a CallerId>,
    /// Database name that the caller connected to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub name: Option<&'a str>,
    /// Group that the database name maps to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<&'a GroupId>,
    /// Rank that the request is scheduled with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<Rank>,
    /// Member that was selected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<&'a MemberId>,
    /// Term in which the request is sent to the member.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub term: Option<Term>,
    /// Log position that the request requires the member to have reached.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub position: Option<Position>,
    /// Reason for the decision.
    pub reason: &'a str,
}

impl<'a> Decision<'a> {
    /// Creates a decision with all optional fields unset.
    pub fn new(decision: &'a str, reason: &'a str) -> Decision<'a> {
        Decision {
            decision,
            request: None,
            caller: None,
            name: None,
            group: None,
            rank: None,
            member: None,
            term: None,
            position: None,
            reason,
        }
    }

    /// Logs the decision as one JSON line of kind `decision`, at level info.
    pub fn log(&self) {
        crate::event("decision", self);
    }
}

use base::{GroupId, MemberId, Position, Rank, Term, VmId};

/// What a daemon knows, for operators.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct DaemonReport {
    /// Its VM.
    pub vm: VmId,
    /// Version of the table that it has in force.
    pub table: u64,
    /// Callers connected at present.
    pub callers: u32,
    /// Groups that are at home there.
    pub homes: Vec<GroupReport>,
}

/// What a home knows of its group.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// Term in force.
    pub term: Term,
    /// The primary; `None` during a change.
    pub primary: Option<MemberId>,
    /// Requests that wait.
    pub waiting: usize,
    /// Whether callers' marks can be relied on.
    pub write_positions_complete: bool,
    /// The members.
    pub members: Vec<MemberReport>,
}

/// What a home knows of a member.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MemberReport {
    /// The member.
    pub member: MemberId,
    /// Its last known position.
    pub position: Position,
    /// Whether it answers and is not kept out.
    pub usable: bool,
    /// Whether it is being taken out of service.
    pub leaving: bool,
    /// Statements that run there.
    pub in_flight: u32,
    /// Connections that are open.
    pub open_connections: u32,
}

/// What would be chosen for a name and rank now, and why.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Explanation {
    /// The name.
    pub name: String,
    /// The rank.
    pub rank: Rank,
    /// The group that answers to the name.
    pub group: GroupId,
    /// Lines to print.
    pub lines: Vec<String>,
}

use base::{GroupId, MemberId, Position, Rank, Term, VmId};

/// Status of a daemon, for operators.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct DaemonReport {
    /// VM of the daemon.
    pub vm: VmId,
    /// Version of the operators' table that it has applied; 0 if it has none.
    pub table: u64,
    /// Number of open sessions, of callers and of daemons that forward requests.
    pub callers: u32,
    /// Groups that the daemon is the home of.
    pub homes: Vec<GroupReport>,
}

/// Status of a group, as its home sees it.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// Term of the latest primary record that the home knows.
    pub term: Term,
    /// The primary; `None` while it is being replaced.
    pub primary: Option<MemberId>,
    /// Number of queued requests.
    pub waiting: usize,
    /// Whether the callers' write positions that the home knows cover every write.
    pub write_positions_complete: bool,
    /// Status of each member.
    pub members: Vec<MemberReport>,
}

/// Status of a member, as the home of its group sees it.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MemberReport {
    /// The member.
    pub member: MemberId,
    /// Last known position in the log.
    pub position: Position,
    /// Whether requests may be sent to it: it answers and is not excluded.
    pub usable: bool,
    /// Whether it is being taken out of service.
    pub leaving: bool,
    /// Number of statements that this home runs there.
    pub in_flight: u32,
    /// Number of connections that this home has open to it.
    pub open_connections: u32,
}

/// How a request with a given name and rank would be routed now, and why.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Explanation {
    /// The database name that was asked about.
    pub name: String,
    /// The rank that was asked about.
    pub rank: Rank,
    /// The group that the name stands for.
    pub group: GroupId,
    /// Explanation for operators, as lines of text.
    pub lines: Vec<String>,
}

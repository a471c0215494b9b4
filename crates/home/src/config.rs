use admission::Discipline;
use base::{GroupId, MemberId, Span, Zone};
use routing::Capacity;

/// Settings of a home.
#[derive(Clone, Debug)]
pub struct HomeConfig {
    /// The group.
    pub group: GroupId,
    /// Availability zone of this daemon.
    pub zone: Zone,
    /// Members of the group.
    pub members: Vec<MemberConfig>,
    /// Callers whose marks are remembered one by one.
    pub callers: usize,
    /// Time between probe rounds when nothing waits for one.
    pub heartbeat: Span,
    /// Silence after which a member gets no requests.
    pub patience: Span,
    /// Silence after which a primary is suspected.
    pub suspect_after: Span,
    /// Time that a commit may wait for its proof.
    pub ack_timeout: Span,
    /// Connections kept idle at each member.
    pub warm_connections: u32,
    /// Order in which requests are served.
    pub discipline: Discipline,
}

/// A member of the group.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Name of the member.
    pub id: MemberId,
    /// Availability zone of the member.
    pub zone: Zone,
    /// What it can take at once.
    pub capacity: Capacity,
}

impl HomeConfig {
    /// Settings with the defaults of an entry VM.
    pub fn new(group: GroupId, zone: Zone, members: Vec<MemberConfig>) -> HomeConfig {
        HomeConfig {
            group,
            zone,
            members,
            callers: 4_096,
            heartbeat: Span::from_millis(100),
            patience: Span::from_millis(450),
            suspect_after: Span::from_millis(500),
            ack_timeout: Span::from_millis(3_000),
            warm_connections: 2,
            discipline: Discipline::Full,
        }
    }
}

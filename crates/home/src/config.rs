use admission::Discipline;
use base::{GroupId, MemberId, Span, Zone};
use routing::Capacity;

/// Configuration of the home of one group.
#[derive(Clone, Debug)]
pub struct HomeConfig {
    /// Group that it serves.
    pub group: GroupId,
    /// Availability zone of this daemon.
    pub zone: Zone,
    /// Members of the group.
    pub members: Vec<MemberConfig>,
    /// Number of callers whose last write position is kept individually.
    pub callers: usize,
    /// Interval between probe rounds that nothing waits for.
    pub heartbeat: Span,
    /// A member that has not answered for this long gets no requests.
    pub patience: Span,
    /// A primary that has not answered for this long is suspected to have failed.
    pub suspect_after: Span,
    /// A commit that is not proven safe within this time is reported as unresolved.
    pub ack_timeout: Span,
    /// Number of idle connections kept open to each member.
    pub warm_connections: u32,
    /// Queueing discipline for waiting requests.
    pub discipline: Discipline,
}

/// Configuration of a member of the group.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Name of the member.
    pub id: MemberId,
    /// Availability zone of the member.
    pub zone: Zone,
    /// Limits on concurrent statements and connections.
    pub capacity: Capacity,
}

impl HomeConfig {
    /// Creates a configuration with the default limits and times of an entry VM.
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

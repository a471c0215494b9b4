use std::net::SocketAddr;

use base::{GroupId, MemberId, Zone};

/// Members of a database group, stored in the row `members/GROUP`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MembersRecord {
    /// One record per member.
    pub members: Vec<MemberRecord>,
}

/// Address and capacity of one member of a database group.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MemberRecord {
    /// Name that identifies the member within its group.
    pub id: MemberId,
    /// Availability zone that the member runs in.
    pub zone: Zone,
    /// Address at which it serves the PostgreSQL protocol.
    pub addr: SocketAddr,
    /// Number of statements that it runs concurrently.
    pub slots: u32,
    /// Number of concurrent connections that it accepts.
    pub connections: u32,
    /// Whether it is being taken out of service.
    #[serde(default)]
    pub leaving: bool,
}

impl MembersRecord {
    /// Prefix of the row keys of all groups' member records.
    pub const PREFIX: &str = "members/";

    /// Key of the row that holds the members of `group`.
    pub fn key(group: &GroupId) -> String {
        format!("{}{group}", MembersRecord::PREFIX)
    }
}

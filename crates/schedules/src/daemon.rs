use base::{GroupId, MemberId, Span, Zone};
use home::{Home, HomeConfig, MemberConfig};
use leadership::{Election, ElectionConfig};
use routing::Capacity;

/// Slots of each member.
pub(crate) const SLOTS: u32 = 3;
/// Number of members.
pub(crate) const MEMBERS: usize = 3;

/// A daemon that is, or believes to be, home of the group.
#[derive(Debug)]
pub(crate) struct FakeDaemon {
    pub(crate) home: Home,
    pub(crate) change: Election,
}

impl FakeDaemon {
    pub(crate) fn new(number: usize, callers: usize) -> FakeDaemon {
        let members = (0..MEMBERS).map(|index| MemberConfig {
            id: member_id(index),
            zone: Zone::new(format!("z{index}")),
            capacity: Capacity { slots: SLOTS, connections: 20 },
        });
        let zone = Zone::new(format!("z{number}"));
        let mut cfg = HomeConfig::new(GroupId::new("g"), zone, members.collect());
        cfg.callers = callers;
        cfg.ack_timeout = Span::from_millis(1_500);
        let members = (0..MEMBERS).map(member_id).collect();
        let change = Election::new(ElectionConfig::new(format!("d{number}"), members));
        FakeDaemon { home: Home::new(cfg), change }
    }
}

/// Name of the member with this index.
pub(crate) fn member_id(index: usize) -> MemberId {
    MemberId::new(format!("m{index}"))
}

/// Index of the member with this name.
pub(crate) fn member_index(id: &MemberId) -> usize {
    (0..MEMBERS).find(|&index| member_id(index) == *id).expect("a member of the group")
}

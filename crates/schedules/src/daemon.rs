use base::{GroupId, MemberId, Span, Zone};
use home::{Home, HomeConfig, MemberConfig};
use leadership::{Election, ElectionConfig};
use routing::Capacity;

/// Number of statements that each member runs at once.
pub(crate) const SLOTS: u32 = 3;
pub(crate) const MEMBERS: usize = 3;

/// State machines of a daemon that is, or considers itself, the home of the group.
#[derive(Debug)]
pub(crate) struct FakeDaemon {
    pub(crate) home: Home,
    pub(crate) election: Election,
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
        let election = Election::new(ElectionConfig::new(format!("d{number}"), members));
        FakeDaemon { home: Home::new(cfg), election }
    }
}

pub(crate) fn member_id(index: usize) -> MemberId {
    MemberId::new(format!("m{index}"))
}

pub(crate) fn member_index(id: &MemberId) -> usize {
    (0..MEMBERS).find(|&index| member_id(index) == *id).expect("a member of the group")
}

use base::{GroupId, Time};
use home::Home;
use peers::{GroupReport, MemberReport};

/// State of a group at its home, for operators.
pub(crate) fn group(group: &GroupId, home: &Home, now: Time) -> GroupReport {
    let (term, primary) = home.current_primary();
    let members = home.members().iter().map(|member| MemberReport {
        member: member.id.clone(),
        position: member.position,
        usable: home.is_usable(now, &member.id),
        leaving: member.leaving,
        in_flight: member.in_flight,
        open_connections: member.open,
    });
    GroupReport {
        group: group.clone(),
        term,
        primary: primary.cloned(),
        waiting: home.waiting(),
        write_positions_complete: home.has_complete_write_positions(),
        members: members.collect(),
    }
}

use base::{Position, Span, Term, Time};

use super::Probes;
use crate::{event::ProbeReply, status::MemberStatus};

/// Guards against an acknowledged write that a majority without it outvotes in an election.
#[test]
fn a_write_is_replicated_once_every_majority_contains_a_member_with_it() {
    check(3, 0, false);
    check(3, 1, true);
    check(4, 1, true);
    check(5, 1, false);
    check(5, 2, true);
    check(7, 2, false);
    check(7, 3, true);
}

/// `holders` is the number of replicas that have the write.
fn check(members: usize, holders: usize, expected: bool) {
    let (term, position) = (Term::new(1), Position::new(1, 5));
    let mut probes = Probes::new(members, Span::from_millis(100));
    for member in 0..members {
        let log_end = if member <= holders { position } else { Position::new(1, 4) };
        let status = MemberStatus {
            term,
            primary: member == 0,
            position: log_end,
            origin: Position::default(),
            log_end,
        };
        probes.record(ProbeReply { member, round: 1, asked_at: Time::default(), status });
    }
    let replicated = probes.replicated(term, 0, position);
    assert_eq!(replicated, expected, "{members} members, {holders} replicas with the write");
}

use base::{MemberId, Position, Span, Term, Time, Zone};

use crate::{Capacity, Choice, Health, Member, Members, Reason};

const PATIENCE: Span = Span::from_millis(500);

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

/// Primary `m0` and replicas `m1` and `m2`. All last answered at 100 ms.
fn members(positions: [u64; 3]) -> Members {
    let capacity = Capacity { slots: 3, connections: 20 };
    let members = positions.iter().enumerate().map(|(index, &position)| {
        let id = MemberId::new(format!("m{index}"));
        let mut member = Member::new(id, Zone::new(format!("z{index}")), capacity);
        member.position = Position::new(1, position);
        member.health.record_answer(at(100));
        member
    });
    let mut members = Members::new(members.collect(), Zone::new("z2"), PATIENCE);
    members.set_primary(Term::new(1), Some(&MemberId::new("m0")));
    members
}

#[test]
fn reads_go_to_replicas_that_have_reached_the_required_position() {
    fn check(positions: [u64; 3], required: u64, expected: Choice) {
        let choice = members(positions).choose_replica(at(200), Position::new(1, required));
        assert_eq!(choice, expected, "{positions:?} {required}");
    }
    check([9, 9, 9], 9, Choice::Member(2, Reason::FreshReplica));
    check([9, 9, 8], 9, Choice::Member(1, Reason::FreshReplica));
    check([9, 8, 8], 9, Choice::NoneEligible(Reason::ReplicasBehind));
}

#[test]
fn replicas_without_a_free_slot_or_connection_are_skipped() {
    let mut members = members([9, 9, 9]);
    members.get_mut(2).in_flight = 3;
    let choice = members.choose_replica(at(200), Position::default());
    assert_eq!(choice, Choice::Member(1, Reason::FreshReplica));
    members.get_mut(1).open = 20;
    assert_eq!(members.choose_replica(at(200), Position::default()), Choice::Busy);
    members.get_mut(1).idle = 1;
    let choice = members.choose_replica(at(200), Position::default());
    assert_eq!(choice, Choice::Member(1, Reason::FreshReplica));
}

#[test]
fn a_slow_replica_is_not_preferred() {
    let mut members = members([9, 9, 9]);
    members.get_mut(2).record_latency(Span::from_millis(400));
    let choice = members.choose_replica(at(200), Position::default());
    assert_eq!(choice, Choice::Member(1, Reason::FreshReplica));
}

#[test]
fn unreachable_and_leaving_members_get_no_requests() {
    let mut members = members([9, 9, 9]);
    members.get_mut(1).leaving = true;
    let choice = members.choose_replica(at(601), Position::default());
    assert_eq!(choice, Choice::NoneEligible(Reason::ReplicasUnreachable));
    members.get_mut(0).leaving = true;
    assert_eq!(members.choose_primary(at(200)), Choice::NoneEligible(Reason::NoPrimary));
}

#[test]
fn a_lower_term_is_ignored() {
    let mut members = members([9, 9, 9]);
    assert!(members.set_primary(Term::new(2), Some(&MemberId::new("m1"))));
    assert!(!members.set_primary(Term::new(1), Some(&MemberId::new("m0"))));
    assert_eq!((members.term(), members.primary()), (Term::new(2), Some(1)));
}

#[test]
fn repeated_failures_eject_for_increasing_times() {
    let mut health = Health::default();
    health.record_answer(at(0));
    health.record_failure(at(0));
    health.record_failure(at(0));
    assert!(health.is_usable(at(1), PATIENCE), "two failures may be coincidence");
    health.record_failure(at(0));
    assert!(!health.is_usable(at(499), PATIENCE));
    assert!(health.is_usable(at(500), PATIENCE));
    health.record_failure(at(500));
    health.record_answer(at(1_400));
    assert!(!health.is_usable(at(1_499), PATIENCE));
    assert!(health.is_usable(at(1_500), PATIENCE));
    health.record_success();
    health.record_failure(at(1_500));
    assert!(health.is_usable(at(1_501), PATIENCE), "a success ends the probation");
}

#[test]
fn a_primary_with_repeated_failures_is_ejected_for_a_while() {
    let mut members = members([9, 9, 9]);
    assert_eq!(members.choose_primary(at(200)), Choice::Member(0, Reason::Primary));
    for _ in 0..3 {
        members.get_mut(0).health.record_failure(at(200));
    }
    assert_eq!(members.choose_primary(at(201)), Choice::Busy);
    assert_eq!(members.choose_primary(at(700)), Choice::Member(0, Reason::Primary));
}

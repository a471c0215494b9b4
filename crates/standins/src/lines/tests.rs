use base::{Position, Span, Time};

use super::{Group, Refusal};

const LAG: Span = Span::from_millis(50);

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

fn group() -> Group {
    Group::new(&["a", "b", "c"].map(str::to_owned), LAG)
}

fn write(group: &mut Group, millis: u64, id: &str, item: &str) -> Result<(), Refusal> {
    group.commit(at(millis), id, "r", vec![(item.to_owned(), "x".to_owned())])
}

#[test]
fn replicas_apply_commits_after_the_lag_and_reject_writes() {
    let mut group = group();
    write(&mut group, 0, "a", "lot").expect("the primary accepts writes");
    assert_eq!(write(&mut group, 0, "b", "lot"), Err(Refusal::ReadOnly));
    let position = Some(Position::new(1, 1));
    group.advance(at(49));
    assert_eq!(group.check("b", position, false), Err(Refusal::Lagging));
    group.advance(at(50));
    assert_eq!((group.check("b", position, false), group.read("b", "lot")), (Ok(()), Some("x")));
}

#[test]
fn a_replaced_primary_accepts_writes_until_its_demotion_delay_passes() {
    let mut group = group();
    write(&mut group, 0, "a", "kept").expect("the primary accepts writes");
    group.promote(at(10), "b");
    assert_eq!((group.primary(), group.received_position("b")), ("b", Position::new(1, 1)));
    write(&mut group, 20, "a", "lost").expect("not demoted yet, so it accepts writes");
    write(&mut group, 30, "b", "new").expect("the primary accepts writes");
    assert_eq!(group.received_position("c"), Position::new(2, 2));
    group.advance(at(1_020));
    assert!(!group.is_primary("a"));
    assert_eq!(group.received_position("a"), Position::new(2, 2));
    assert_eq!(group.lost().len(), 1);
    assert_eq!(group.read("a", "lost"), None);
}

#[test]
fn a_partitioned_primary_is_demoted_a_second_after_the_partition_ends() {
    let mut group = group();
    group.set_partitioned(at(0), true);
    group.promote(at(10), "b");
    group.advance(at(5_000));
    assert!(group.is_primary("a"));
    group.set_partitioned(at(5_000), false);
    group.advance(at(5_999));
    assert!(group.is_primary("a"));
    group.advance(at(6_000));
    assert!(!group.is_primary("a"));
}

#[test]
fn a_replaced_primary_that_steps_down_rejects_writes_at_once() {
    let mut group = group();
    group.step_down("a", 1);
    assert!(group.is_primary("a"), "does not step down for its own term");
    group.step_down("a", 2);
    assert_eq!(write(&mut group, 0, "a", "lot"), Err(Refusal::ReadOnly));
    group.promote(at(10), "c");
    write(&mut group, 20, "c", "lot").expect("the primary accepts writes");
    assert_eq!(group.received_position("a"), Position::new(2, 1));
}

#[test]
fn a_stopped_member_runs_nothing_until_it_is_started_again() {
    let mut group = group();
    write(&mut group, 0, "a", "kept").expect("the primary accepts writes");
    group.set_stopped("a", true);
    assert_eq!(write(&mut group, 10, "a", "lot"), Err(Refusal::Stopped));
    assert_eq!(group.check("a", None, false), Err(Refusal::Stopped));
    assert_eq!(group.received_position("a"), Position::new(1, 1));
    group.set_stopped("a", false);
    write(&mut group, 20, "a", "lot").expect("the primary accepts writes again");
}

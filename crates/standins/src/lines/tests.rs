use base::{Position, Span, Time};

use super::{Group, Refusal};

const LAG: Span = Span::from_millis(50);

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

fn group() -> Group {
    Group::new(&["a", "b", "c"].map(str::to_owned), LAG)
}

fn store(group: &mut Group, millis: u64, id: &str, item: &str) -> Result<(), Refusal> {
    group.commit(at(millis), id, "r", vec![(item.to_owned(), "x".to_owned())])
}

#[test]
fn replicas_see_commits_late_and_refuse_writes() {
    let mut group = group();
    store(&mut group, 0, "a", "lot").expect("the primary");
    assert_eq!(store(&mut group, 0, "b", "lot"), Err(Refusal::ReadOnly));
    let position = Some(Position::new(1, 1));
    group.advance(at(49));
    assert_eq!(group.check("b", position, false), Err(Refusal::Lagging));
    group.advance(at(50));
    assert_eq!((group.check("b", position, false), group.read("b", "lot")), (Ok(()), Some("x")));
}

#[test]
fn a_replaced_primary_goes_on_until_it_hears_of_the_new_one() {
    let mut group = group();
    store(&mut group, 0, "a", "kept").expect("the primary");
    group.promote(at(10), "b");
    assert_eq!((group.primary(), group.received_position("b")), ("b", Position::new(1, 1)));
    store(&mut group, 20, "a", "lost").expect("it does not know");
    store(&mut group, 30, "b", "new").expect("the primary");
    assert_eq!(group.received_position("c"), Position::new(2, 2));
    group.advance(at(1_020));
    assert!(!group.is_primary("a"));
    assert_eq!(group.received_position("a"), Position::new(2, 2));
    assert_eq!(group.lost().len(), 1);
    assert_eq!(group.read("a", "lost"), None);
}

#[test]
fn a_replaced_primary_that_is_cut_off_goes_on_until_a_second_after_the_cut() {
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
fn an_old_primary_that_steps_down_refuses_writes_at_once() {
    let mut group = group();
    group.step_down("a", 1);
    assert!(group.is_primary("a"), "not for its own term");
    group.step_down("a", 2);
    assert_eq!(store(&mut group, 0, "a", "lot"), Err(Refusal::ReadOnly));
    group.promote(at(10), "c");
    store(&mut group, 20, "c", "lot").expect("the primary");
    assert_eq!(group.received_position("a"), Position::new(2, 1));
}

use base::{CallerId, GroupId, Position, Span, Time};

use crate::{CallerWritePositions, ConsistencyToken, PrimaryHistory};

fn caller(name: &str) -> CallerId {
    CallerId::new(name)
}

#[test]
fn an_evicted_position_becomes_the_floor() {
    let mut positions = CallerWritePositions::new(2);
    for (name, index) in [("a", 1), ("b", 2), ("c", 3)] {
        positions.record_write(&caller(name), Position::new(1, index));
    }
    assert_eq!(positions.len(), 2);
    assert_eq!(positions.floor(), Position::new(1, 1));
    assert_eq!(positions.required(&caller("a")), Position::new(1, 1));
    assert_eq!(positions.required(&caller("c")), Position::new(1, 3));
}

#[test]
fn memory_stays_bounded_when_one_caller_keeps_writing() {
    let mut positions = CallerWritePositions::new(4);
    for index in 1..10_000 {
        positions.record_write(&caller("a"), Position::new(1, index));
    }
    assert!(positions.write_order_len() <= 8);
    assert_eq!(positions.required(&caller("a")), Position::new(1, 9_999));
}

#[test]
fn a_position_never_decreases() {
    let mut positions = CallerWritePositions::new(4);
    positions.record_write(&caller("a"), Position::new(2, 3));
    positions.record_write(&caller("a"), Position::new(1, 9));
    assert_eq!(positions.required(&caller("a")), Position::new(2, 3));
}

#[test]
fn history_covers_an_age_only_if_the_primary_was_asked_since() {
    let mut history = PrimaryHistory::new(Span::from_millis(10));
    let at = |millis| Time::default() + Span::from_millis(millis);
    history.record(at(1), Position::new(1, 1));
    history.record(at(5), Position::new(1, 5));
    assert_eq!(history.position_covering(at(6), Span::from_millis(6)), Some(Position::new(1, 1)));
    assert_eq!(history.position_covering(at(6), Span::from_millis(2)), Some(Position::new(1, 5)));
    assert_eq!(history.position_covering(at(9), Span::from_millis(2)), None);
}

#[test]
fn token_text_round_trips() {
    fn check(text: &str, expected: Option<&str>) {
        let token = text.parse::<ConsistencyToken>().ok().map(|token| token.to_string());
        assert_eq!(token.as_deref(), expected, "{text}");
    }
    check("", Some(""));
    check("g1=1/2", Some("g1=1/2"));
    check(" g2=1/2 ; g1=3/4;", Some("g1=3/4;g2=1/2"));
    check("g1=1/2;g1=1/9", Some("g1=1/9"));
    check("g1", None);
    check("g1=x", None);
}

#[test]
fn a_token_never_decreases() {
    let (mut token, group) = (ConsistencyToken::default(), GroupId::new("g1"));
    assert!(token.raise(&group, Position::new(1, 5)));
    assert!(!token.raise(&group, Position::new(1, 4)));
    assert_eq!(token.position(&group), Some(Position::new(1, 5)));
}

use crate::{Position, Rank, Span, Time};

#[test]
fn positions_order_by_term_before_index() {
    assert!(Position::new(2, 41) > Position::new(1, 50));
}

#[test]
fn position_text_round_trips() {
    fn check(text: &str, expected: Option<Position>) {
        assert_eq!(text.parse().ok(), expected, "{text}");
    }
    check("3/14", Some(Position::new(3, 14)));
    check("3", None);
    check("3/-1", None);
    check("a/1", None);
    check("", None);
}

#[test]
fn ranks_parse_only_from_their_names() {
    for rank in Rank::ALL {
        assert_eq!(rank.as_str().parse::<Rank>().ok(), Some(rank));
    }
    assert!("urgent".parse::<Rank>().is_err());
}

#[test]
fn time_arithmetic_saturates_at_the_clock_start() {
    let start = Time::from_micros(5);
    assert_eq!(start.before(Span::from_millis(1)), Time::default());
    assert_eq!(start.since(Time::from_micros(9)), Span::ZERO);
}

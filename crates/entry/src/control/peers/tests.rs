use std::net::SocketAddr;

use base::{Span, Time};

use super::Peers;
use crate::control::beat::Beat;

const RUN: u64 = 7;

fn beat(number: u64, acts: bool) -> Beat {
    Beat {
        from: "holder".to_owned(),
        run: RUN,
        carries: true,
        acts,
        number,
        echo: 0,
        echo_run: 0,
        version: 1,
        newest: [0; 3],
        opinions: Vec::new(),
    }
}

/// Load pattern: the duty's holder loses the store, goes on with its heartbeats, and a
/// primary goes dark.
#[test]
fn a_holder_that_the_store_does_not_answer_is_not_able_to_act() {
    let mut peers = Peers::default();
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    peers.set([("holder".to_owned(), addr)].into_iter());
    let start = Time::from_micros(1_000_000);
    peers.take_in(start, 1, &beat(1, true));
    let later = start + Span::from_millis(1_500);
    peers.take_in(later, 1, &beat(2, false));
    assert_eq!(peers.able("holder", RUN), Some(start));
    assert!(peers.peers["holder"].heard_within(later, Span::ZERO));
    peers.take_in(later, 1, &beat(3, true));
    assert_eq!(peers.able("holder", RUN), Some(later));
    assert_eq!(peers.able("holder", RUN + 1), None);
}

#[test]
fn a_heartbeat_that_comes_late_changes_nothing() {
    let mut peers = Peers::default();
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    peers.set([("holder".to_owned(), addr)].into_iter());
    let start = Time::from_micros(1_000_000);
    peers.take_in(start, 1, &beat(5, false));
    peers.take_in(start + Span::from_millis(10), 1, &beat(4, true));
    assert_eq!(peers.able("holder", RUN), None);
}

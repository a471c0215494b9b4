//! Which tables of the store a daemon follows, by its role and at the start of a fleet.

use base::Span;
use succession::{Feed, FollowedTables, FollowerView};

const RELAY: FollowerView = FollowerView {
    carries: false,
    is_small: true,
    running_for: Span::from_millis(60_000),
    zone_has_carrier: true,
    zone_is_lost: false,
    slot_is_free: Some(false),
    carriers_silent: false,
};

fn check(view: FollowerView, state: Feed, operator: Feed, members: Feed) {
    let expected = FollowedTables { state, operator, members };
    assert_eq!(FollowedTables::new(&view), expected, "{view:?}");
}

#[test]
fn carriers_follow_all_tables() {
    check(FollowerView { carries: true, ..RELAY }, Feed::On, Feed::On, Feed::On);
}

/// Nearly all VMs of a large fleet, in calm and while configurations or primaries change.
#[test]
fn other_daemons_follow_nothing_while_carriers_answer() {
    check(RELAY, Feed::Off, Feed::Off, Feed::Off);
    check(FollowerView { carriers_silent: true, ..RELAY }, Feed::Slow, Feed::Off, Feed::Off);
    check(FollowerView { slot_is_free: Some(true), ..RELAY }, Feed::On, Feed::On, Feed::Off);
}

/// All VMs have lost power: the store still lists the carriers.
#[test]
fn a_restarted_daemon_reads_nothing_more_if_its_zone_has_a_carrier() {
    let restarted = FollowerView { running_for: Span::ZERO, slot_is_free: None, ..RELAY };
    check(restarted, Feed::Off, Feed::Off, Feed::Off);
    check(FollowerView { is_small: false, ..restarted }, Feed::Off, Feed::Off, Feed::Off);
}

/// The first start of a fleet: no carrier is listed yet.
#[test]
fn small_vms_leave_the_first_start_to_larger_ones() {
    let first = FollowerView {
        running_for: Span::ZERO,
        slot_is_free: None,
        zone_has_carrier: false,
        carriers_silent: true,
        ..RELAY
    };
    check(first, Feed::Slow, Feed::Off, Feed::Off);
    check(FollowerView { is_small: false, ..first }, Feed::On, Feed::On, Feed::Off);
    let waited = FollowerView { running_for: Span::from_millis(5_000), ..first };
    check(waited, Feed::On, Feed::On, Feed::Off);
}

/// Guards against VMs that never learn how many slots there are, since all carriers that could tell
/// them are lost (review/9).
#[test]
fn a_daemon_whose_zone_has_lost_its_carriers_asks_the_store() {
    let lost = FollowerView { zone_is_lost: true, carriers_silent: true, ..RELAY };
    check(lost, Feed::On, Feed::On, Feed::Off);
    check(FollowerView { slot_is_free: None, ..lost }, Feed::On, Feed::On, Feed::Off);
}

//! Choice of the carriers that a daemon relays sessions to, and their number.

use std::net::SocketAddr;

use base::{Span, Time};
use succession::{CarrierDirectory, CarrierRecord, CarrierSlots, SETTLED_AFTER};

fn record(vm: &str, zone: &str, port: u16) -> CarrierRecord {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    CarrierRecord {
        vm: vm.to_owned(),
        addr: addr(port),
        sessions: addr(port + 1),
        zone: zone.to_owned(),
        millicores: 250,
        since_ms: 0,
        gone: false,
        doubted: false,
        replaced: Vec::new(),
    }
}

fn ports(carriers: &CarrierDirectory, now: Time) -> Vec<u16> {
    let mut ports: Vec<_> =
        carriers.session_addrs(now, "a").iter().map(|addr| addr.port()).collect();
    ports.sort_unstable();
    ports
}

/// Guards against a relay that gives up statements whose answers arrived while it was suspended.
#[test]
fn a_daemon_that_stood_still_does_not_take_carriers_for_lost() {
    let records = [record("1", "a", 10)];
    let start = Time::from_micros(1_000_000);
    let mut carriers = CarrierDirectory::default();
    carriers.set(start, records.iter());
    carriers.ask(start, "a");
    let resumed = start + Span::from_millis(5_400);
    assert!(carriers.live_addrs(resumed).is_empty());
    carriers.resume(resumed);
    assert_eq!(carriers.live_addrs(resumed), [records[0].sessions]);
    assert_eq!(carriers.silence(resumed), Some(Span::ZERO));
    assert!(carriers.live_addrs(resumed + Span::from_millis(1_400)).is_empty());
}

#[test]
fn healthy_carriers_of_the_zone_come_first_then_any_healthy_then_all() {
    let records = [record("1", "a", 10), record("2", "a", 20), record("3", "b", 30)];
    let start = Time::from_micros(1_000_000);
    let mut carriers = CarrierDirectory::default();
    carriers.set(start, records.iter());
    assert_eq!(ports(&carriers, start), [11, 21]);
    carriers.record_failure(start, records[0].sessions);
    assert_eq!(ports(&carriers, start), [21]);
    assert_eq!(carriers.ask(start, "a").len(), 3);
    let later = start + Span::from_millis(1_400);
    carriers.record_answer(later, "3", true);
    assert_eq!(ports(&carriers, later), [31]);
    assert_eq!(carriers.ask(later, "a").len(), 3);
    let much_later = later + Span::from_millis(5_000);
    assert_eq!(ports(&carriers, much_later), [11, 21, 31]);
    carriers.record_answer(much_later, "1", true);
    assert_eq!(ports(&carriers, much_later), [11]);
}

#[test]
fn the_number_of_slots_follows_the_members_connections() {
    let check = |connections, zones, expected| {
        assert_eq!(CarrierSlots::new(connections, zones).indices().count(), expected);
    };
    check(21, 4, 2);
    check(50, 3, 3);
    check(51, 4, 2);
    check(176, 4, 3);
    check(100_000, 10, 2);
}

/// Guards against carriers with so few connections each that few of them are reused.
#[test]
fn with_organisations_there_are_as_few_carriers_as_safety_allows() {
    let check = |connections, zones, expected| {
        let slots = CarrierSlots::with_organisations(connections, zones);
        assert_eq!(slots.indices().count(), expected);
    };
    check(58, 4, 2);
    check(70, 4, 2);
    check(70, 3, 3);
    check(21, 4, 2);
    check(100_000, 10, 1);
}

/// Fleets of hundreds of VMs: a heartbeat of each to each carrier would be most of the traffic
/// between zones.
#[test]
fn carriers_of_other_zones_are_asked_only_while_the_own_zone_is_in_doubt() {
    let records = [record("1", "a", 10), record("2", "a", 20), record("3", "b", 30)];
    let start = Time::from_micros(1_000_000);
    let at = |millis| start + Span::from_millis(millis);
    let mut carriers = CarrierDirectory::default();
    carriers.set(start, records.iter());
    let ask = |carriers: &mut CarrierDirectory, now| {
        let mut ports: Vec<_> = carriers.ask(now, "a").iter().map(SocketAddr::port).collect();
        ports.sort_unstable();
        ports
    };
    assert_eq!(ask(&mut carriers, at(0)), [10, 20]);
    carriers.record_answer(at(1), "1", true);
    carriers.record_answer(at(1), "2", true);
    assert_eq!(ask(&mut carriers, at(500)), [10, 20]);
    carriers.record_answer(at(501), "1", true);
    assert_eq!(ask(&mut carriers, at(1_000)), [10, 20, 30], "one has not answered since 500");
    carriers.record_answer(at(1_001), "1", true);
    carriers.record_answer(at(1_001), "3", true);
    assert_eq!(ports(&carriers, at(1_500)), [11], "the silent one gets no new sessions");
    carriers.record_failure(at(1_500), records[0].sessions);
    assert_eq!(ports(&carriers, at(1_500)), [31], "a carrier of another zone is known to answer");
    carriers.record_answer(at(1_600), "2", true);
    assert_eq!(carriers.silence(at(1_700)), Some(Span::from_millis(100)));
    assert_eq!(carriers.silence(at(5_600)), Some(Span::from_millis(4_000)));
}

/// A carrier that was not asked has not been silent: sessions may move to it at once.
#[test]
fn a_carrier_that_was_not_asked_counts_as_answering() {
    let records = [record("1", "a", 10), record("2", "b", 20)];
    let start = Time::from_micros(1_000_000);
    let mut carriers = CarrierDirectory::default();
    carriers.set(start, records.iter());
    let later = start + Span::from_millis(10_000);
    carriers.record_answer(later, "1", true);
    carriers.record_failure(later, records[0].sessions);
    assert_eq!(ports(&carriers, later), [21]);
}

/// A carrier that is cut off from the store and the other carriers still answers the VMs that
/// reach it, but refuses whatever needs a primary.
#[test]
fn sessions_leave_a_carrier_without_grant_but_wait_for_its_answers() {
    let records = [record("1", "a", 10), record("2", "b", 20)];
    let start = Time::from_micros(1_000_000);
    let mut carriers = CarrierDirectory::default();
    carriers.set(start, records.iter());
    carriers.record_answer(start, "1", false);
    assert_eq!(ports(&carriers, start), [21]);
    assert_eq!(carriers.answering_addrs(start).len(), 2);
    carriers.record_answer(start, "2", false);
    assert_eq!(ports(&carriers, start), [11, 21], "reads may still be answered");
    carriers.record_answer(start, "1", true);
    assert_eq!(ports(&carriers, start), [11]);
}

/// A carrier loses power, with a twelfth of the fleet's sessions on it.
#[test]
fn a_dark_carrier_is_left_at_once_but_its_writes_are_given_up_late() {
    let records = [record("1", "a", 10), record("2", "a", 20)];
    let start = Time::from_micros(1_000_000);
    let at = |millis| start + Span::from_millis(millis);
    let mut carriers = CarrierDirectory::default();
    carriers.set(start, records.iter());
    for millis in (0..=1_250).step_by(250) {
        carriers.ask(at(millis), "a");
        carriers.record_answer(at(millis + 1), "2", true);
    }
    let ports = |addrs: Vec<SocketAddr>| addrs.iter().map(SocketAddr::port).collect::<Vec<_>>();
    assert_eq!(carriers.session_addrs(at(440), "a").len(), 2);
    assert_eq!(ports(carriers.session_addrs(at(450), "a")), [21]);
    assert_eq!(ports(carriers.answering_addrs(at(450))), [21], "its reads are repeated");
    assert_eq!(carriers.live_addrs(at(1_290)).len(), 2, "its writes are awaited");
    assert_eq!(ports(carriers.live_addrs(at(1_300))), [21]);
}

/// One broken session must not end the statements of all others with the same carrier.
#[test]
fn a_carrier_with_a_failed_session_still_answers() {
    let records = [record("1", "a", 10), record("2", "a", 20)];
    let start = Time::from_micros(1_000_000);
    let mut carriers = CarrierDirectory::default();
    carriers.set(start, records.iter());
    carriers.record_failure(start, records[0].sessions);
    assert_eq!(ports(&carriers, start), [21]);
    assert_eq!(carriers.answering_addrs(start).len(), 2);
}

/// Guards against a takeover by a daemon that has just started, and against one that is given up because
/// carriers of other zones answer.
#[test]
fn the_silence_of_a_zone_begins_when_its_carriers_become_known() {
    let records = [record("1", "a", 10), record("2", "a", 20), record("3", "b", 30)];
    let start = Time::from_micros(50_000_000);
    let at = |millis| start + Span::from_millis(millis);
    let mut carriers = CarrierDirectory::default();
    assert_eq!(carriers.zone_silence(start, "a"), None);
    carriers.set(start, records.iter());
    assert_eq!(carriers.zone_silence(start, "a"), Some(Span::ZERO));
    carriers.record_answer(at(500), "2", false);
    carriers.record_answer(at(4_000), "3", true);
    assert_eq!(carriers.zone_silence(at(4_000), "a"), Some(Span::from_millis(3_500)));
    carriers.resume(at(5_000));
    assert_eq!(carriers.zone_silence(at(5_000), "a"), Some(Span::ZERO), "nobody could be heard");
}

/// Guards against forgetting carriers that may still use primaries, however often a slot changes hands.
#[test]
fn earlier_carriers_of_a_slot_are_recorded_until_they_are_settled() {
    let at = |vm: &str, since_ms| CarrierRecord { since_ms, ..record(vm, "a", 10) };
    let replaced = |record: &CarrierRecord| -> Vec<(String, u64)> {
        record.replaced.iter().map(|it| (it.vm.clone(), it.since_ms)).collect()
    };
    let second = at("2", 5_000).taking_over(&at("1", 0), 5_000).expect("a record");
    assert_eq!(replaced(&second), [("1".to_owned(), 5_000)]);
    let gone = CarrierRecord { since_ms: 9_000, gone: true, ..second };
    let third = at("3", 12_000).taking_over(&gone, 12_000).expect("a record");
    assert_eq!(replaced(&third), [("1".to_owned(), 5_000), ("2".to_owned(), 9_000)]);
    let back = at("1", 13_000).taking_over(&third, 13_000).expect("a record");
    assert_eq!(replaced(&back), [("2".to_owned(), 9_000), ("3".to_owned(), 13_000)]);
    let settled_ms = 13_000 + SETTLED_AFTER.as_millis();
    let last = at("4", settled_ms).taking_over(&back, settled_ms).expect("a record");
    assert_eq!(replaced(&last), [("1".to_owned(), settled_ms)]);
    let mut slot = at("0", 0);
    for number in 1..=8 {
        slot = at(&number.to_string(), number).taking_over(&slot, number).expect("a record");
    }
    assert!(at("9", 9).taking_over(&slot, 9).is_none(), "a record with room for no more");
}

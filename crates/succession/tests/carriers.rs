//! Choice of the carriers that a daemon relays sessions to, and their number.

use std::net::SocketAddr;

use base::{Span, Time};
use succession::{CarrierDirectory, CarrierRecord, CarrierSlots};

fn record(vm: &str, zone: &str, port: u16) -> CarrierRecord {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    CarrierRecord {
        vm: vm.to_owned(),
        addr: addr(port),
        sessions: addr(port + 1),
        zone: zone.to_owned(),
        since_ms: 0,
        gone: false,
    }
}

fn ports(carriers: &CarrierDirectory, now: Time) -> Vec<u16> {
    let mut ports: Vec<_> =
        carriers.session_addrs(now, "a").iter().map(|addr| addr.port()).collect();
    ports.sort_unstable();
    ports
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
    let later = start + Span::from_millis(1_400);
    carriers.record_answer(later, "3");
    assert_eq!(ports(&carriers, later), [31]);
    let much_later = later + Span::from_millis(5_000);
    assert_eq!(ports(&carriers, much_later), [11, 21, 31]);
    carriers.record_answer(much_later, "1");
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

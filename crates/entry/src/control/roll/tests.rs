use std::net::SocketAddr;

use adapter::Row;
use succession::{CarrierRecord, SETTLED_AFTER};

use super::Roll;
use crate::control::{ledger::Ledger, peers::Peers, stewardship::encode};

const ADDR: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

fn record(vm: &str, since_ms: u64, gone: bool) -> CarrierRecord {
    let addr = SocketAddr::from(ADDR);
    CarrierRecord { vm: vm.to_owned(), addr, sessions: addr, zone: "a".to_owned(), since_ms, gone }
}

/// A ledger with these rows, in order of their versions from 1 on.
fn ledger(rows: &[(&str, CarrierRecord)]) -> Ledger {
    let mut ledger = Ledger::default();
    for (number, (place, record)) in rows.iter().enumerate() {
        let row = Row {
            key: Ledger::carrier_key(place),
            value: Some(encode(record)),
            version: number as u64 + 1,
        };
        ledger.take_in(&[row]);
    }
    ledger
}

/// Carriers that a change waits for, at the store's `clock`.
fn counted(rows: &[(&str, CarrierRecord)], clock: u64) -> usize {
    let (ledger, peers) = (ledger(rows), Peers::default());
    Roll { vm: "d1", ledger: &ledger, peers: &peers, store_ms: clock }.standings().len()
}

#[test]
fn one_that_lost_its_place_counts_until_no_list_can_show_it() {
    let settled = SETTLED_AFTER.as_millis();
    let rows = [("a/0", record("d1", 0, false)), ("a/1", record("d2", 100, true))];
    assert_eq!(counted(&rows, 100 + settled - 1), 2);
    assert_eq!(counted(&rows, 100 + settled), 1);
}

#[test]
fn one_that_has_another_place_counts_once() {
    let rows = [("a/1", record("d2", 0, true)), ("a/2", record("d2", 10, false))];
    assert_eq!(counted(&rows, 20), 1);
}

#[test]
fn a_place_is_free_again_when_no_list_can_show_who_had_it() {
    let settled = SETTLED_AFTER.as_millis();
    let ledger = ledger(&[("a/0", record("d1", 0, false)), ("a/1", record("d2", 100, true))]);
    assert_eq!(ledger.free_place("a/0", "d3", settled), None);
    assert_eq!(ledger.free_place("a/1", "d3", settled), None);
    assert_eq!(ledger.free_place("a/1", "d3", 100 + settled), Some(2));
    assert_eq!(ledger.free_place("a/1", "d2", settled), Some(2));
    assert_eq!(ledger.free_place("a/2", "d3", 0), Some(0));
}

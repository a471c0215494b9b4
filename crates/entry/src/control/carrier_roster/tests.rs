use std::net::SocketAddr;

use adapter::Row;
use succession::{CarrierRecord, SETTLED_AFTER};

use super::CarrierRoster;
use crate::control::{coordination::CoordinationState, coordinator::encode, peers::Peers};

const ADDR: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

fn record(vm: &str, since_ms: u64, gone: bool) -> CarrierRecord {
    let addr = SocketAddr::from(ADDR);
    CarrierRecord {
        vm: vm.to_owned(),
        addr,
        sessions: addr,
        zone: "a".to_owned(),
        millicores: 250,
        since_ms,
        gone,
        doubted: false,
        replaced: Vec::new(),
    }
}

/// State after applying these rows of carrier slots; the first row has version 1, each further
/// row the next version.
fn coordination(rows: &[(&str, CarrierRecord)]) -> CoordinationState {
    let mut coordination = CoordinationState::default();
    for (number, (place, record)) in rows.iter().enumerate() {
        let row = Row {
            key: CoordinationState::carrier_key(place),
            value: Some(encode(record)),
            version: number as u64 + 1,
        };
        coordination.apply_rows(&[row]);
    }
    coordination
}

/// Number of carriers that a failover waits for when the store's clock is at `store_ms`.
fn awaited_carrier_count(rows: &[(&str, CarrierRecord)], store_ms: u64) -> usize {
    let (coordination, peers) = (coordination(rows), Peers::default());
    CarrierRoster { vm: "d1", coordination: &coordination, peers: &peers, store_ms }.entries().len()
}

#[test]
fn failover_waits_for_a_carrier_without_slot_until_its_row_is_settled() {
    let settled_after = SETTLED_AFTER.as_millis();
    let rows = [("a/0", record("d1", 0, false)), ("a/1", record("d2", 100, true))];
    assert_eq!(awaited_carrier_count(&rows, 100 + settled_after - 1), 2);
    assert_eq!(awaited_carrier_count(&rows, 100 + settled_after), 1);
}

#[test]
fn failover_waits_for_a_replaced_carrier_until_it_is_settled() {
    let settled_after = SETTLED_AFTER.as_millis();
    let successor = record("d3", 100, false).taking_over(&record("d2", 0, false), 100);
    let successor = successor.expect("a record");
    let gone = CarrierRecord { gone: true, ..successor.clone() };
    for row in [successor, gone] {
        let rows = [("a/0", record("d1", 0, false)), ("a/1", row.clone())];
        assert_eq!(awaited_carrier_count(&rows, 100 + settled_after - 1), 3, "{row:?}");
        assert_eq!(awaited_carrier_count(&rows, 100 + settled_after), 1 + usize::from(!row.gone));
    }
}

#[test]
fn carrier_with_a_new_slot_counts_once() {
    let rows = [("a/1", record("d2", 0, true)), ("a/2", record("d2", 10, false))];
    assert_eq!(awaited_carrier_count(&rows, 20), 1);
}

#[test]
fn slot_is_claimable_once_the_row_of_its_previous_holder_is_settled() {
    let settled_after = SETTLED_AFTER.as_millis();
    let coordination =
        coordination(&[("a/0", record("d1", 0, false)), ("a/1", record("d2", 100, true))]);
    assert_eq!(coordination.claimable_version("a/0", "d3", settled_after), None);
    assert_eq!(coordination.claimable_version("a/1", "d3", settled_after), None);
    assert_eq!(coordination.claimable_version("a/1", "d3", 100 + settled_after), Some(2));
    assert_eq!(coordination.claimable_version("a/1", "d2", settled_after), Some(2));
    assert_eq!(coordination.claimable_version("a/2", "d3", 0), Some(0));
}

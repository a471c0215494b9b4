use std::net::SocketAddr;

use adapter::{FailoverClient, Row, StoreClient};
use base::Span;
use futures_channel::mpsc;
use succession::{CarrierRecord, LeaseRecord};

use super::{FailoverCoordinator, HOLDER_TIMEOUT, encode};
use crate::{
    clock,
    control::{coordination::CoordinationState, peers::Peers},
};

fn row(key: &str, record: &impl serde::Serialize) -> Row {
    Row { key: key.to_owned(), value: Some(encode(record)), version: 1 }
}

/// Whether `d1` tries to take the lease from `d2`, which it last heard 5 s ago, having itself run
/// for `running_for`.
async fn takes_over(running_for: Span) -> bool {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let (tx, _rx) = mpsc::unbounded();
    let (store, client) = (StoreClient::new(addr), FailoverClient::new(addr));
    let mut coordinator = FailoverCoordinator::new("d1".to_owned(), 1, store, client, tx);
    coordinator.holder_store_reachable_at = clock::now().before(Span::from_millis(5_000));
    let carrier = CarrierRecord {
        vm: "d1".to_owned(),
        addr,
        sessions: addr,
        zone: "a".to_owned(),
        millicores: 250,
        since_ms: 0,
        gone: false,
        doubted: false,
        replaced: Vec::new(),
    };
    let lease = LeaseRecord { holder: "d2".to_owned(), run: 2, token: 1, ..LeaseRecord::default() };
    let mut coordination = CoordinationState::default();
    coordination.loaded = true;
    let rows = [row("carrier/a/0", &carrier), row("duty", &lease)];
    coordination.apply_rows(&rows);
    coordinator.tick(&coordination, &Peers::default(), running_for, 0, 1, &[]);
    coordinator.write_retry_at.is_some()
}

/// The holder answered all the time; this daemon was suspended and did not hear it.
#[tokio::test]
async fn a_daemon_that_stood_still_does_not_take_the_lease_from_a_holder_it_could_not_hear() {
    assert!(!takes_over(Span::ZERO).await);
    assert!(!takes_over(Span::from_millis(HOLDER_TIMEOUT.as_millis() / 2)).await);
    assert!(takes_over(HOLDER_TIMEOUT).await);
}

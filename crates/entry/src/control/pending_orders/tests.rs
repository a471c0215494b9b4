use super::PendingOrders;

#[test]
fn rows_are_applied_up_to_the_first_unconfirmed_order() {
    let mut pending = PendingOrders::default();
    assert_eq!(pending.applied_version(9), 9);
    pending.add("one", 7);
    pending.add("two", 9);
    assert_eq!(pending.applied_version(9), 6);
    pending.confirm("one", 7);
    assert_eq!(pending.applied_version(9), 8);
    pending.confirm("two", 9);
    assert_eq!(pending.applied_version(12), 12);
}

/// Guards against waiting for an order that is never confirmed: the order of a planned failover
/// waits for transactions, a later order replaces it, and only the later one is confirmed.
#[test]
fn replaced_order_does_not_delay_the_applied_version() {
    let mut pending = PendingOrders::default();
    pending.add("one", 7);
    pending.add("one", 9);
    pending.confirm("one", 9);
    assert_eq!(pending.applied_version(9), 9);
}

use super::PendingOrders;

#[test]
fn rows_are_in_force_up_to_the_first_order_that_is_not() {
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

/// A planned change that waits for transactions is replaced before it is confirmed;
/// only the later order ever is.
#[test]
fn an_order_that_was_replaced_holds_nothing_up() {
    let mut pending = PendingOrders::default();
    pending.add("one", 7);
    pending.add("one", 9);
    pending.confirm("one", 9);
    assert_eq!(pending.applied_version(9), 9);
}

use super::Pending;

#[test]
fn rows_are_in_force_up_to_the_first_order_that_is_not() {
    let mut pending = Pending::default();
    assert_eq!(pending.in_force(9), 9);
    pending.ordered("one", 7);
    pending.ordered("two", 9);
    assert_eq!(pending.in_force(9), 6);
    pending.applied("one", 7);
    assert_eq!(pending.in_force(9), 8);
    pending.applied("two", 9);
    assert_eq!(pending.in_force(12), 12);
}

/// A planned change that waits for transactions is replaced before it is confirmed;
/// only the later order ever is.
#[test]
fn an_order_that_was_replaced_holds_nothing_up() {
    let mut pending = Pending::default();
    pending.ordered("one", 7);
    pending.ordered("one", 9);
    pending.applied("one", 9);
    assert_eq!(pending.in_force(9), 9);
}

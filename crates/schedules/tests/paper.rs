//! Test of the model of the expiring lock from "Architecting Idempotent Consumers in Event-Driven Systems
//! with Redis". It shows why the proxy does not use such a lock for at-most-once execution.

use schedules::simulate_expiring_lock;

#[test]
fn an_expiring_lock_lets_an_operation_run_twice_if_its_holder_pauses() {
    let counts = simulate_expiring_lock(1, 10_000);
    println!("{counts:?}");
    assert!(counts.twice > 0);
    assert_eq!(counts.once + counts.twice, 10_000);
}

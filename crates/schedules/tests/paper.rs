//! The paper's lock that expires and is taken over.

use schedules::simulate_expiring_lock;

#[test]
fn a_paused_holder_runs_twice_under_a_lock_that_expires() {
    let runs = simulate_expiring_lock(1, 10_000);
    println!("{runs:?}");
    assert!(runs.twice > 0);
    assert_eq!(runs.once + runs.twice, 10_000);
}

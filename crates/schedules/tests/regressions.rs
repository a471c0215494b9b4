//! Schedules that found a fault once.

use schedules::{Mutation, Simulation};

#[test]
fn a_primary_kept_out_for_too_long_stops_writes_after_it_has_healed() {
    // With ejections of up to 32 s, writes did not land again within 6 s.
    let outcome = Simulation::new(10_846, 2, Mutation::None).run();
    assert_eq!(outcome.oracle.violations(), []);
}

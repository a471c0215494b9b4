//! Schedules that once violated an invariant.

use schedules::{Mutation, Simulation};

#[test]
fn writes_resume_after_an_ejected_primary_has_recovered() {
    // Failed members used to be ejected for up to 32 s, so that no write succeeded within 6 s
    // of the primary's recovery.
    let outcome = Simulation::new(10_846, 2, Mutation::None).run();
    assert_eq!(outcome.oracle.violations(), []);
}

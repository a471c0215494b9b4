//! Invariants of the home and the election under random schedules of faults.

use base::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;
use schedules::{Fault, FaultKind, Mutation, Simulation, Violation};

/// Runs the schedules of `seeds` and returns the violations of each seed that has any.
fn violations(
    seeds: std::ops::Range<u64>,
    faults: usize,
    mutation: Mutation,
) -> Vec<(u64, Vec<Violation>)> {
    let runs = seeds.map(|seed| {
        let outcome = Simulation::new(seed, faults, mutation).run();
        let within_slots = outcome.peak_running <= 2 * outcome.slots;
        assert!(within_slots || mutation != Mutation::None, "two homes exceeded their slots");
        (seed, outcome.oracle.violations().to_vec())
    });
    runs.filter(|(_, violations)| !violations.is_empty()).collect()
}

fn check(seeds: std::ops::Range<u64>, faults: usize) {
    let found = violations(seeds, faults, Mutation::None);
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn invariants_hold_without_faults() {
    check(0..50, 0);
}

#[test]
fn invariants_hold_under_single_faults() {
    check(0..600, 1);
}

#[test]
fn invariants_hold_under_pairs_of_faults() {
    check(10_000..10_900, 2);
}

#[test]
fn invariants_hold_under_several_faults() {
    check(20_000..20_300, 4);
}

#[test]
fn oracle_detects_mutations() {
    fn check(mutation: Mutation, expected: fn(&Violation) -> bool) {
        let found = violations(10_000..10_400, 2, mutation);
        let all = found.iter().flat_map(|(_, violations)| violations);
        assert!(all.clone().any(expected), "{mutation:?} was not detected: {found:?}");
    }
    check(Mutation::AcknowledgeEarly, |it| matches!(it, Violation::AcknowledgedWriteLost { .. }));
    check(Mutation::RetryInDoubt, |it| matches!(it, Violation::ExecutedTwice { .. }));
    check(Mutation::IgnoreWritePositions, |it| matches!(it, Violation::OwnWriteNotRead { .. }));
}

/// Runs a takeover during which the old home is cut off from the platform but still reaches
/// the primary, and the new home does not reach that primary.
fn run_with_partitioned_homes(seed: u64, mutation: Mutation) -> Vec<Violation> {
    let from = Time::from_micros(2_000_000);
    let duration = Span::from_millis(5_000);
    let faults = [FaultKind::StoreCut(0), FaultKind::LinkCut(1, 0), FaultKind::ReplicationCut(1)];
    let faults = faults.map(|kind| Fault { kind, from, duration }).to_vec();
    let outcome = Simulation::with_faults(seed, faults, from, mutation).run();
    outcome.oracle.violations().to_vec()
}

#[test]
fn invariants_hold_with_partitioned_homes() {
    for seed in 0..60 {
        assert_eq!(run_with_partitioned_homes(seed, Mutation::None), vec![], "seed {seed}");
    }
}

#[test]
fn oracle_detects_promotion_without_fencing() {
    let found = (0..60).flat_map(|seed| run_with_partitioned_homes(seed, Mutation::SkipFence));
    assert!(found.into_iter().any(|it| it != Violation::NoProgress));
}

/// Runs a random fault and a random takeover, and a loss of the store's writes around them.
fn run_with_lost_writes(seed: u64, mutation: Mutation) -> Vec<Violation> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let lost = Fault {
        kind: FaultKind::StoreLosesWrites,
        from: Time::from_micros(rng.random_range(1_000_000..4_000_000)),
        duration: Span::from_micros(rng.random_range(500_000..5_000_000)),
    };
    let takeover = Time::from_micros(rng.random_range(1_500_000..6_000_000));
    let faults = vec![Fault::random(&mut rng), lost];
    let outcome = Simulation::with_faults(seed, faults, takeover, mutation).run();
    outcome.oracle.violations().to_vec()
}

#[test]
fn invariants_hold_when_the_store_loses_writes() {
    for seed in 30_000..30_600 {
        assert_eq!(run_with_lost_writes(seed, Mutation::None), vec![], "seed {seed}");
    }
}

#[test]
fn oracle_detects_versions_that_are_given_out_again() {
    let found = (30_000..30_600).flat_map(|seed| run_with_lost_writes(seed, Mutation::KeepEra));
    assert!(found.count() > 0);
}

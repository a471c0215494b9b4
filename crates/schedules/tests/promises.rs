//! What must always hold, under random schedules of failures.

use base::{Span, Time};
use schedules::{Fault, FaultKind, Mutation, Simulation, Violation};

/// Runs the schedules of `seeds`; violations by seed.
fn violations(
    seeds: std::ops::Range<u64>,
    faults: usize,
    mutation: Mutation,
) -> Vec<(u64, Vec<Violation>)> {
    let runs = seeds.map(|seed| {
        let outcome = Simulation::new(seed, faults, mutation).run();
        let within = outcome.peak_running <= 2 * outcome.slots;
        assert!(within || mutation != Mutation::None, "two homes use at most their slots");
        (seed, outcome.oracle.violations().to_vec())
    });
    runs.filter(|(_, violations)| !violations.is_empty()).collect()
}

fn check(seeds: std::ops::Range<u64>, faults: usize) {
    let found = violations(seeds, faults, Mutation::None);
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn promises_hold_without_faults() {
    check(0..50, 0);
}

#[test]
fn promises_hold_under_single_faults() {
    check(0..600, 1);
}

#[test]
fn promises_hold_under_pairs_of_faults() {
    check(10_000..10_900, 2);
}

#[test]
fn promises_hold_under_several_faults() {
    check(20_000..20_300, 4);
}

#[test]
fn mistakes_made_on_purpose_are_found() {
    fn check(mutation: Mutation, expected: fn(&Violation) -> bool) {
        let found = violations(10_000..10_400, 2, mutation);
        let all = found.iter().flat_map(|(_, violations)| violations);
        assert!(all.clone().any(expected), "{mutation:?} stays unnoticed: {found:?}");
    }
    check(Mutation::AcknowledgeEarly, |it| matches!(it, Violation::AcknowledgedWriteLost { .. }));
    check(Mutation::RetryInDoubt, |it| matches!(it, Violation::ExecutedTwice { .. }));
    check(Mutation::IgnoreWritePositions, |it| matches!(it, Violation::OwnWriteNotRead { .. }));
}

/// A home that the platform does not reach goes on with a primary that its
/// successor does not reach.
fn parted_homes(seed: u64, mutation: Mutation) -> Vec<Violation> {
    let from = Time::from_micros(2_000_000);
    let duration = Span::from_millis(5_000);
    let faults = [FaultKind::StoreCut(0), FaultKind::LinkCut(1, 0), FaultKind::ReplicationCut(1)];
    let faults = faults.map(|kind| Fault { kind, from, duration }).to_vec();
    let outcome = Simulation::with_faults(seed, faults, from, mutation).run();
    outcome.oracle.violations().to_vec()
}

#[test]
fn parted_homes_do_not_harm_each_other() {
    for seed in 0..60 {
        assert_eq!(parted_homes(seed, Mutation::None), vec![], "seed {seed}");
    }
}

#[test]
fn promotion_without_a_fence_is_found() {
    let found = (0..60).flat_map(|seed| parted_homes(seed, Mutation::SkipFence));
    assert!(found.into_iter().any(|it| it != Violation::NoProgress));
}

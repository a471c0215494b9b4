//! Random schedules of cuts against the grants: when a change may go on, no daemon
//! may still use the old primary.

use base::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use succession::{CarrierState, PrimaryGrant, is_majority_of_every_list, is_primary_unused};

/// Daemons that are carriers from the start, and those that may become carriers.
const DAEMONS: usize = 5;
const JOINERS: usize = 6;
const ALL: usize = DAEMONS + JOINERS;
const STEP: Span = Span::from_millis(50);
/// Version of the rows at the start.
const OLD: u64 = 10;

/// What the driver of the change leaves out, to show that the check notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mistake {
    None,
    /// It does not wait for grants to lapse.
    NoWait,
    /// It waits for grants to lapse without a majority that has the change in force.
    NoMajority,
    /// Daemons count answers of daemons that know more than they do.
    NewerIsEvidence,
    /// The driver counts a majority of the newest list of carriers only.
    NewestList,
}

struct World {
    rng: ChaCha8Rng,
    now: Time,
    grants: Vec<PrimaryGrant>,
    version: [u64; ALL],
    store_version: u64,
    /// Version that each daemon was listed as a carrier with, if it is one.
    listed: [Option<u64>; ALL],
    store_cut: [bool; ALL],
    cut: [[bool; ALL]; ALL],
    /// The version that each daemon last showed to the driver.
    shown: [u64; ALL],
    mistake: Mistake,
}

impl World {
    fn new(seed: u64, mistake: Mistake) -> World {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_micros(1_000_000),
            grants: (0..ALL).map(|_| PrimaryGrant::default()).collect(),
            version: [0; ALL],
            store_version: OLD,
            listed: std::array::from_fn(|own| (own < DAEMONS).then_some(OLD)),
            store_cut: [false; ALL],
            cut: [[false; ALL]; ALL],
            shown: [0; ALL],
            mistake,
        };
        for own in 0..DAEMONS {
            world.apply(own, OLD);
        }
        world
    }

    /// Cuts and heals paths, then lets heartbeats and readings of the store through.
    fn step(&mut self, stirred: bool) {
        self.now = self.now + STEP;
        if stirred {
            self.stir();
        }
        for own in 0..ALL {
            if !self.store_cut[own] && self.rng.random_bool(0.3) {
                self.apply(own, self.store_version);
                self.grants[own].store_answered(self.now, self.store_version);
            }
            for other in 0..ALL {
                if own != other && !self.cut[own][other] {
                    self.answer(own, other);
                }
            }
        }
    }

    fn stir(&mut self) {
        for own in 1..DAEMONS {
            if self.rng.random_ratio(1, 12) {
                self.store_cut[own] = self.rng.random_bool(0.5);
            }
            for other in 0..DAEMONS {
                if self.rng.random_ratio(1, 16) {
                    let cut = self.rng.random_bool(0.5);
                    self.cut[own][other] = cut;
                    self.cut[other][own] = cut;
                }
            }
        }
    }

    fn answer(&mut self, own: usize, other: usize) {
        if self.listed[other].is_none() {
            return;
        }
        let mut version = self.version[other];
        if self.mistake == Mistake::NewerIsEvidence {
            version = version.min(self.version[own]);
        }
        self.grants[own].peer_answered(&other.to_string(), self.now, version);
        if own == 0 {
            self.shown[other] = self.version[other];
        }
    }

    fn apply(&mut self, own: usize, version: u64) {
        self.version[own] = version;
        self.grants[own].rows_applied(version);
        let listed = |it: usize| self.listed[it].is_some_and(|listed| listed <= version);
        let names: Vec<_> =
            (0..ALL).filter(|it| *it != own && listed(*it)).map(|it| it.to_string()).collect();
        self.grants[own].set_peers(names.iter().map(String::as_str));
    }

    /// Lists one more daemon as a carrier.
    fn join(&mut self) {
        if let Some(joiner) = self.listed.iter().position(Option::is_none) {
            self.store_version += 1;
            self.listed[joiner] = Some(self.store_version);
        }
    }

    /// Runs a change after `settle`; a daemon that could use the old primary when it
    /// went on.
    fn change(&mut self, settle: impl Fn(&mut World)) -> Option<usize> {
        settle(self);
        self.store_version += 1;
        let new = self.store_version;
        self.apply(0, new);
        let learnt = self.now;
        let mut majority_since = None;
        loop {
            self.shown[0] = new;
            let carriers: Vec<_> = (0..ALL).filter_map(|it| self.standing(it, new)).collect();
            let majority = match self.mistake {
                Mistake::NewestList => {
                    let stopped = carriers.iter().filter(|it| it.applied).count();
                    stopped > carriers.len() / 2
                }
                _ => is_majority_of_every_list(&carriers),
            };
            if majority {
                majority_since.get_or_insert(self.now);
            }
            let go_on = match self.mistake {
                Mistake::NoWait => majority_since.is_some(),
                Mistake::NoMajority => self.now.since(learnt) >= Span::from_millis(1_650),
                _ => is_primary_unused(self.now, &carriers, majority_since, learnt),
            };
            if go_on {
                break;
            }
            self.step(true);
        }
        (1..ALL).find(|own| {
            let carries = self.listed[*own].is_some_and(|listed| listed <= self.version[*own]);
            carries && self.version[*own] < new && self.grants[*own].expires_at() > self.now
        })
    }

    fn standing(&self, it: usize, new: u64) -> Option<CarrierState> {
        Some(CarrierState {
            applied: self.shown[it] >= new,
            listed: self.listed[it]?,
            settled: it < DAEMONS,
            shown: self.shown[it],
        })
    }
}

/// Cuts and heals paths for a while.
fn stir(world: &mut World) {
    for _ in 0..40 {
        world.step(true);
    }
}

/// As `stir`, then new carriers come.
fn stir_and_join(world: &mut World) {
    stir(world);
    for _ in 0..JOINERS {
        world.join();
        world.step(false);
    }
}

/// Load pattern: most carriers lack the store while many VMs are added.
fn cut_most_and_join(world: &mut World) {
    for _ in 0..20 {
        world.step(false);
    }
    for own in 1..DAEMONS {
        world.store_cut[own] = true;
    }
    for _ in 0..JOINERS {
        world.join();
        for _ in 0..4 {
            world.step(false);
        }
    }
}

fn violations(mistake: Mistake) -> usize {
    (0..3_000).filter(|seed| World::new(*seed, mistake).change(stir).is_some()).count()
}

fn violations_while_joining(mistake: Mistake) -> usize {
    let random = (0..1_000)
        .filter(|seed| World::new(*seed, mistake).change(stir_and_join).is_some())
        .count();
    let cut =
        (0..100).filter(|seed| World::new(*seed, mistake).change(cut_most_and_join).is_some());
    random + cut.count()
}

#[test]
fn no_daemon_uses_the_old_primary_when_a_change_goes_on() {
    assert_eq!(violations(Mistake::None), 0);
}

#[test]
fn nor_when_many_carriers_come_while_most_lack_the_store() {
    assert_eq!(violations_while_joining(Mistake::None), 0);
}

#[test]
fn the_check_notices_a_driver_that_counts_the_newest_list_only() {
    assert!(violations_while_joining(Mistake::NewestList) > 0);
}

#[test]
fn the_check_notices_a_driver_that_does_not_wait() {
    assert!(violations(Mistake::NoWait) > 0);
}

#[test]
fn the_check_notices_a_driver_without_a_majority() {
    assert!(violations(Mistake::NoMajority) > 0);
}

#[test]
fn the_check_notices_evidence_of_daemons_that_know_more() {
    assert!(violations(Mistake::NewerIsEvidence) > 0);
}

#[test]
fn the_others_stand_in_for_a_store_that_is_away() {
    let mut world = World::new(1, Mistake::None);
    // Until each daemon has read the store once; before, it has no grant.
    for _ in 0..20 {
        world.step(false);
    }
    world.store_cut = [true; ALL];
    for _ in 0..100 {
        world.step(false);
    }
    for grants in &world.grants[..DAEMONS] {
        assert!(grants.expires_at() > world.now);
    }
}

/// Daemons that have a grant after the store has been away for `millis`, while the
/// last `silent` of the daemons are silent.
fn granted_without_store(silent: usize, millis: u64) -> usize {
    let mut world = World::new(1, Mistake::None);
    for _ in 0..20 {
        world.step(false);
    }
    world.store_cut = [true; ALL];
    for one in 0..DAEMONS {
        for other in DAEMONS - silent..DAEMONS {
            world.cut[one][other] = true;
            world.cut[other][one] = true;
        }
    }
    for _ in 0..millis / STEP.as_millis() {
        world.step(false);
    }
    world.grants[..DAEMONS].iter().filter(|grants| grants.expires_at() > world.now).count()
}

/// Load pattern: the store is away and the holder of the duty is lost at the same time.
#[test]
fn a_majority_keeps_its_grants_without_the_store_for_a_while() {
    assert_eq!(granted_without_store(1, 9_000), DAEMONS - 1);
    assert_eq!(granted_without_store(2, 9_000), DAEMONS - 2);
    assert_eq!(granted_without_store(3, 9_000), 0);
    assert_eq!(granted_without_store(0, 14_000), 0);
}

/// Carriers by `(applied, listed, settled, shown)`.
fn standings(of: &[(bool, u64, bool, u64)]) -> Vec<CarrierState> {
    let standing = |&(applied, listed, settled, shown): &(bool, u64, bool, u64)| CarrierState {
        applied,
        listed,
        settled,
        shown,
    };
    of.iter().map(standing).collect()
}

#[test]
fn a_majority_counts_only_carriers_that_the_others_list_too() {
    fn check(expected: bool, of: &[(bool, u64, bool, u64)]) {
        assert_eq!(is_majority_of_every_list(&standings(of)), expected, "{of:?}");
    }
    let old = (true, 1, true, 9);
    let joined = (true, 5, false, 9);
    check(true, &[old, old, (false, 1, true, 0)]);
    check(false, &[old, (false, 1, true, 0)]);
    // The silent one may not list those who came later ...
    check(false, &[old, joined, joined, (false, 1, true, 4), (false, 1, true, 9)]);
    // ... but does once it has shown that it knows their rows.
    check(true, &[old, joined, joined, (false, 1, true, 5), (false, 1, true, 9)]);
    check(false, &[]);
}

/// Load pattern: a carrier that the holder has not heard for long lost its place a
/// moment ago, though the store still answered it.
#[test]
fn a_carrier_that_lost_its_place_is_waited_for() {
    let learnt = Time::from_micros(50_000_000);
    let carriers = standings(&[(true, 1, true, 9), (true, 1, true, 9), (false, 1, true, 0)]);
    let at = |millis| learnt + Span::from_millis(millis);
    assert!(!is_primary_unused(at(100), &carriers, Some(learnt), learnt));
    assert!(is_primary_unused(at(1_700), &carriers, Some(learnt), learnt));
}

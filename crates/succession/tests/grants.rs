//! Grants under random network partitions: when a failover proceeds, no daemon may still
//! use the old primary.

use base::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use succession::{CarrierState, PrimaryGrant, is_majority_of_every_list, is_primary_unused};

/// Number of daemons that are carriers from the start.
const DAEMONS: usize = 5;
/// Number of daemons that may become carriers later.
const JOINERS: usize = 6;
const ALL: usize = DAEMONS + JOINERS;
const STEP: Span = Span::from_millis(50);
/// Version of the rows at the start.
const INITIAL_VERSION: u64 = 10;
/// Added to a version when the store has come back from an older copy.
const ERA: u64 = 1_000_000;

/// Fault that is built into the protocol to show that the check detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mistake {
    None,
    /// The lease holder does not wait until grants have expired.
    NoWait,
    /// The lease holder waits for the duration of a grant, but not until a majority has
    /// applied the record.
    NoMajority,
    /// Daemons count answers of daemons that have applied newer rows than they have.
    NewerIsEvidence,
    /// The lease holder requires a majority of the newest list of carriers only.
    NewestList,
    /// The lease holder takes the list of a store that has lost writes for complete.
    LostRowsIgnored,
    /// The lease holder does not wait for carriers whose slots others have taken over.
    ReplacedIgnored,
}

struct World {
    rng: ChaCha8Rng,
    now: Time,
    grants: Vec<PrimaryGrant>,
    /// Version of the rows that each daemon has applied.
    version: [u64; ALL],
    store_version: u64,
    /// Version of the row that lists each daemon as a carrier; `None` if it is none.
    listed: [Option<u64>; ALL],
    /// Version of the row by which another daemon has taken over the slot of each daemon.
    replaced: [Option<u64>; ALL],
    /// Daemons whose rows the store has lost.
    lost: [bool; ALL],
    store_cut: [bool; ALL],
    cut: [[bool; ALL]; ALL],
    /// Version that each daemon last reported to the lease holder, daemon 0.
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
            store_version: INITIAL_VERSION,
            listed: std::array::from_fn(|own| (own < DAEMONS).then_some(INITIAL_VERSION)),
            replaced: [None; ALL],
            lost: [false; ALL],
            store_cut: [false; ALL],
            cut: [[false; ALL]; ALL],
            shown: [0; ALL],
            mistake,
        };
        for own in 0..DAEMONS {
            world.apply(own, INITIAL_VERSION);
        }
        world
    }

    /// Changes the partitions if asked to, then delivers heartbeats and reads of the store.
    fn step(&mut self, repartition: bool) {
        self.now = self.now + STEP;
        if repartition {
            self.repartition();
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

    fn repartition(&mut self) {
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
        let names: Vec<_> = (0..ALL)
            .filter(|it| *it != own && self.is_listed(*it, version))
            .map(|it| it.to_string())
            .collect();
        self.grants[own].set_peers(names.iter().map(String::as_str));
    }

    /// Whether a daemon is a carrier by the rows of a version.
    fn is_listed(&self, it: usize, version: u64) -> bool {
        let is_lost = self.lost[it] && version >= ERA;
        let is_replaced = self.replaced[it].is_some_and(|replaced| replaced <= version);
        !is_lost && !is_replaced && self.listed[it].is_some_and(|listed| listed <= version)
    }

    /// The store comes back from a copy without the rows of the carriers that have joined.
    fn lose_joiners(&mut self) {
        self.store_version += ERA;
        for joiner in DAEMONS..ALL {
            self.lost[joiner] = true;
        }
    }

    /// Lists one more daemon as a carrier.
    fn join(&mut self) {
        if let Some(joiner) = self.listed.iter().position(Option::is_none) {
            self.store_version += 1;
            self.listed[joiner] = Some(self.store_version);
        }
    }

    /// Lets one more daemon take over the slot of a carrier.
    fn take_over(&mut self, carrier: usize) {
        self.join();
        self.replaced[carrier] = Some(self.store_version);
    }

    /// Runs a failover after `prepare`. Returns a daemon that could still use the old primary
    /// when the failover proceeded.
    fn fail_over(&mut self, prepare: impl Fn(&mut World)) -> Option<usize> {
        prepare(self);
        self.store_version += 1;
        let new = self.store_version;
        self.apply(0, new);
        let learned_at = self.now;
        let mut majority_since = None;
        loop {
            self.shown[0] = new;
            let carriers: Vec<_> = (0..ALL).filter_map(|it| self.carrier_state(it, new)).collect();
            let majority = match self.mistake {
                Mistake::NewestList => {
                    let applied = carriers.iter().filter(|it| it.applied).count();
                    applied > carriers.len() / 2
                }
                _ => is_majority_of_every_list(&carriers, self.unlisted()),
            };
            if majority {
                majority_since.get_or_insert(self.now);
            }
            let proceed = match self.mistake {
                Mistake::NoWait => majority_since.is_some(),
                Mistake::NoMajority => self.now.since(learned_at) >= Span::from_millis(1_650),
                _ => is_primary_unused(
                    self.now,
                    &carriers,
                    self.unlisted(),
                    majority_since,
                    learned_at,
                ),
            };
            if proceed {
                break;
            }
            self.step(true);
        }
        (1..ALL).find(|own| {
            let carries = self.is_listed(*own, self.version[*own]);
            carries && self.version[*own] < new && self.grants[*own].expires_at() > self.now
        })
    }

    /// Number of carriers that may exist beyond those in the store: the other slots, if it has
    /// lost writes.
    fn unlisted(&self) -> usize {
        if self.store_version < ERA || self.mistake == Mistake::LostRowsIgnored {
            return 0;
        }
        (0..ALL).filter(|it| !self.is_listed(*it, self.store_version)).count()
    }

    fn carrier_state(&self, it: usize, new: u64) -> Option<CarrierState> {
        if let Some(listed) = self.replaced[it].filter(|_| self.mistake != Mistake::ReplacedIgnored)
        {
            return Some(CarrierState { applied: false, listed, settled: false, shown: 0 });
        }
        let listed = self.listed[it].filter(|_| self.is_listed(it, new))?;
        Some(CarrierState {
            applied: self.shown[it] >= new,
            listed,
            settled: it < DAEMONS,
            shown: self.shown[it],
        })
    }
}

/// Changes the partitions at random for 2 s.
fn partition_randomly(world: &mut World) {
    for _ in 0..40 {
        world.step(true);
    }
}

/// Changes the partitions at random, then adds carriers.
fn partition_and_join(world: &mut World) {
    partition_randomly(world);
    for _ in 0..JOINERS {
        world.join();
        world.step(false);
    }
}

/// Cuts off all carriers but the lease holder from the store, then adds carriers, as when
/// many VMs are started during a partial outage of the store.
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

/// Adds carriers, whose rows the store then loses while most of them cannot reach it.
fn join_and_lose_rows(world: &mut World) {
    for _ in 0..JOINERS {
        world.join();
        for _ in 0..8 {
            world.step(false);
        }
    }
    for joiner in DAEMONS..ALL {
        world.store_cut[joiner] = world.rng.random_bool(0.9);
    }
    world.lose_joiners();
    let steps = world.rng.random_range(0..40);
    for _ in 0..steps {
        world.step(false);
    }
}

/// Cuts some carriers off from the store and from each of the others at random, then lets daemons that
/// hear none of them take over their slots.
fn cut_and_take_over(world: &mut World) {
    for _ in 0..20 {
        world.step(false);
    }
    for own in 1..DAEMONS {
        world.store_cut[own] = world.rng.random_bool(0.8);
    }
    for carrier in 1..DAEMONS {
        if world.store_cut[carrier] {
            world.take_over(carrier);
        }
        for _ in 0..world.rng.random_range(0..8) {
            world.step(false);
        }
    }
}

fn violations_after_takeovers(mistake: Mistake) -> usize {
    (0..1_000)
        .filter(|seed| World::new(*seed, mistake).fail_over(cut_and_take_over).is_some())
        .count()
}

fn violations_after_lost_writes(mistake: Mistake) -> usize {
    (0..500)
        .filter(|seed| World::new(*seed, mistake).fail_over(join_and_lose_rows).is_some())
        .count()
}

fn violations(mistake: Mistake) -> usize {
    (0..3_000)
        .filter(|seed| World::new(*seed, mistake).fail_over(partition_randomly).is_some())
        .count()
}

fn violations_while_joining(mistake: Mistake) -> usize {
    let random = (0..1_000)
        .filter(|seed| World::new(*seed, mistake).fail_over(partition_and_join).is_some())
        .count();
    let cut =
        (0..100).filter(|seed| World::new(*seed, mistake).fail_over(cut_most_and_join).is_some());
    random + cut.count()
}

#[test]
fn no_daemon_uses_the_old_primary_when_a_failover_proceeds() {
    assert_eq!(violations(Mistake::None), 0);
}

#[test]
fn no_daemon_uses_the_old_primary_when_carriers_join_during_a_store_outage() {
    assert_eq!(violations_while_joining(Mistake::None), 0);
}

#[test]
fn no_daemon_uses_the_old_primary_when_the_store_has_lost_the_rows_of_carriers() {
    assert_eq!(violations_after_lost_writes(Mistake::None), 0);
}

/// Guards against a failover that does not wait for a carrier which is only cut off, since a new VM has
/// its slot.
#[test]
fn no_daemon_uses_the_old_primary_when_slots_were_taken_over() {
    assert_eq!(violations_after_takeovers(Mistake::None), 0);
}

#[test]
fn the_check_detects_that_replaced_carriers_are_ignored() {
    assert!(violations_after_takeovers(Mistake::ReplacedIgnored) > 0);
}

#[test]
fn the_check_detects_that_lost_rows_are_ignored() {
    assert!(violations_after_lost_writes(Mistake::LostRowsIgnored) > 0);
}

#[test]
fn the_check_detects_a_majority_of_the_newest_list_only() {
    assert!(violations_while_joining(Mistake::NewestList) > 0);
}

#[test]
fn the_check_detects_a_missing_wait() {
    assert!(violations(Mistake::NoWait) > 0);
}

#[test]
fn the_check_detects_a_missing_majority() {
    assert!(violations(Mistake::NoMajority) > 0);
}

#[test]
fn the_check_detects_evidence_from_daemons_with_newer_rows() {
    assert!(violations(Mistake::NewerIsEvidence) > 0);
}

#[test]
fn peers_extend_grants_while_the_store_does_not_answer() {
    let mut world = World::new(1, Mistake::None);
    // Enough steps for each daemon to read the store once; until then it has no grant.
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

/// Counts the daemons that still have a grant after the store has not answered for `millis`
/// and the last `silent` daemons have been cut off.
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

/// Guards against the loss of all grants when the store and the holder of the lease fail at
/// the same time.
#[test]
fn a_majority_keeps_its_grants_without_the_store_for_a_limited_time() {
    assert_eq!(granted_without_store(1, 9_000), DAEMONS - 1);
    assert_eq!(granted_without_store(2, 9_000), DAEMONS - 2);
    assert_eq!(granted_without_store(3, 9_000), 0);
    assert_eq!(granted_without_store(0, 14_000), 0);
}

/// Builds carrier states from `(applied, listed, settled, shown)`.
fn carrier_states(fields: &[(bool, u64, bool, u64)]) -> Vec<CarrierState> {
    let state = |&(applied, listed, settled, shown): &(bool, u64, bool, u64)| CarrierState {
        applied,
        listed,
        settled,
        shown,
    };
    fields.iter().map(state).collect()
}

#[test]
fn a_majority_counts_only_carriers_on_the_lists_of_the_others() {
    fn check(expected: bool, fields: &[(bool, u64, bool, u64)]) {
        assert_eq!(is_majority_of_every_list(&carrier_states(fields), 0), expected, "{fields:?}");
    }
    let old = (true, 1, true, 9);
    let joined = (true, 5, false, 9);
    check(true, &[old, old, (false, 1, true, 0)]);
    check(false, &[old, (false, 1, true, 0)]);
    // A carrier that has not answered may use a list without those that joined later ...
    check(false, &[old, joined, joined, (false, 1, true, 4), (false, 1, true, 9)]);
    // ... unless it has reported a version that includes their rows.
    check(true, &[old, joined, joined, (false, 1, true, 5), (false, 1, true, 9)]);
    check(false, &[]);
}

/// Guards against a failover that does not wait for a carrier that has just lost its slot. The
/// lease holder has not heard from such a carrier, but the store may still extend its grant.
#[test]
fn a_failover_waits_for_a_carrier_that_lost_its_slot() {
    let learned_at = Time::from_micros(50_000_000);
    let carriers = carrier_states(&[(true, 1, true, 9), (true, 1, true, 9), (false, 1, true, 0)]);
    let at = |millis| learned_at + Span::from_millis(millis);
    assert!(!is_primary_unused(at(100), &carriers, 0, Some(learned_at), learned_at));
    assert!(is_primary_unused(at(1_700), &carriers, 0, Some(learned_at), learned_at));
}

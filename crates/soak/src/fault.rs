use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::{
    options::Options,
    organisations::COUNT,
    proxy::{LinkFault, Mode},
};

/// Range of the time between the starts of two faults, in ms.
const INTERVAL_MS: (u64, u64) = (300, 1_800);
/// Range of the duration of a fault, in ms. It covers outages of the store that a daemon can
/// bridge, and longer ones.
const DURATION_MS: (u64, u64) = (200, 6_000);

/// Ranges of the time between two changes of the configuration, planned operations and
/// standstills, in ms. Some changes last longer than the users allow them to take, others not.
const CHANGE_INTERVAL_MS: (u64, u64) = (400, 6_000);
const OPERATION_INTERVAL_MS: (u64, u64) = (1_500, 6_000);
const STANDSTILL_INTERVAL_MS: (u64, u64) = (1_000, 4_000);
/// Ranges of the time between two moves of a database, two disturbances of failover calls, two
/// entries of another writer, and two replicas that receive nothing, in ms.
const MOVE_INTERVAL_MS: (u64, u64) = (500, 4_000);
const FAILOVER_LINK_INTERVAL_MS: (u64, u64) = (1_000, 5_000);
const FOREIGN_ENTRY_INTERVAL_MS: (u64, u64) = (1_000, 6_000);
const DEAF_INTERVAL_MS: (u64, u64) = (1_000, 5_000);
/// Ranges of the time between two changes of keys and of limits, in ms, and of the limits per second:
/// callers exceed the lowest.
const ROTATION_INTERVAL_MS: (u64, u64) = (300, 3_000);
const LIMIT_INTERVAL_MS: (u64, u64) = (2_000, 8_000);
const LIMITS_PER_S: std::ops::Range<u32> = 3..2_000;
/// Ranges of the time between two outages of the store and of their duration, in ms: keys that are
/// revoked meanwhile must not be used to their end.
const OUTAGE_INTERVAL_MS: (u64, u64) = (4_000, 12_000);
const OUTAGE_MS: std::ops::Range<u64> = 6_000..9_000;
/// Range of the time between two replacements of daemons, in ms. All are replaced within the time after
/// which a silent carrier loses its slot.
const REPLACE_INTERVAL_MS: std::ops::Range<u64> = 300..1_800;
/// Range of the time between two absences of the members that hold a group's latest commits, in ms.
const ABSENCE_INTERVAL_MS: (u64, u64) = (6_000, 14_000);
/// Range of the time between two losses of the store's latest writes, in ms.
const LOSS_INTERVAL_MS: (u64, u64) = (2_500, 8_000);
/// Longest time after a loss until the operator and the members have written again, in ms: the users
/// state about two seconds.
const REWRITE_MAX_MS: u64 = 2_000;

/// A failure or a planned operation. Daemons, members and groups are given by index, sets of
/// daemons as bit masks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// Kills a daemon, which restarts when the fault ends.
    Kill(usize),
    /// Kills all daemons, which restart when the fault ends.
    KillAll,
    /// Suspends a daemon's process.
    Pause(usize),
    /// Stops a daemon gracefully; it restarts after it has exited.
    Terminate(usize),
    /// Makes a daemon reload its settings.
    Hangup(usize),
    /// Disturbs the connections of a daemon to the store.
    StoreLink(usize, Mode),
    /// Disturbs the connections of some daemons to a member.
    MemberLink(usize, LinkFault),
    /// Disturbs the connections of some daemons to a group's primary.
    PrimaryLink(usize, LinkFault),
    /// Network partition: these daemons reach a group's primary but not the store, the
    /// others reach the store but not the primary. The primary is also cut off from the
    /// other members, so it does not notice that it was replaced.
    Partition(usize, u64),
    /// Suspends these daemons and isolates a group's primary from the other daemons and
    /// the other members. The primary does not notice that it was replaced until a second
    /// after the daemons resume.
    Freeze(usize, u64),
    /// Stops a member, which restarts when the fault ends.
    MemberCrash(usize),
    /// Stops a group's primary, which restarts when the fault ends.
    PrimaryCrash(usize),
    /// Makes the store refuse all calls.
    StoreDown,
    /// Loses the replies to this number of the store's next writes.
    LoseAnswers(u32),
    /// Makes the store discard its change history.
    Forget,
    /// Copies the store, and restores it from the copy when the fault ends, so that it has lost all
    /// that was written meanwhile. The operator and the members write again this many milliseconds
    /// later.
    LoseWrites(u64),
    /// Delays replication by this many milliseconds.
    Lag(u64),
    /// Changes the configuration: adds the extra database or removes it.
    Configure,
    /// Changes the configuration: moves a database to another group.
    MoveDatabase,
    /// Disturbs the connections of a daemon to the failover API.
    FailoverLink(usize, Mode),
    /// Lets another writer replace a member's entry. The member writes its own again when the fault
    /// ends.
    ForeignEntry(usize),
    /// Lets a member receive nothing from its primary.
    Deaf(usize),
    /// Changes the configuration: adds a key to an organisation and revokes the one before.
    RotateKey(usize),
    /// Changes the configuration: lowers or raises the limit of an organisation to this rate.
    SetLimit(usize, u32),
    /// Replaces a daemon for good by one with another name and address.
    Replace(usize),
    /// A replica of a group receives nothing; its primary and the other replica stop, and all daemons
    /// are killed and start again at once. The members are back when the fault ends.
    AbsentMembers(usize),
}

/// A fault with its start, as time since the start of the run, and its duration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledFault {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
}

/// Chooses the faults of a run. They may overlap. Changes of the configuration, planned operations,
/// standstills and losses of the store's writes come in series of their own beside the others.
pub(crate) fn schedule(options: &Options, rng: &mut ChaCha8Rng) -> Vec<ScheduledFault> {
    let mut faults = mixed_faults(options, rng);
    faults.extend(series(options, rng, CHANGE_INTERVAL_MS, |_| Fault::Configure));
    let operation = |rng: &mut ChaCha8Rng| planned_operation(options, rng);
    faults.extend(series(options, rng, OPERATION_INTERVAL_MS, operation));
    if !options.is_planned_only() {
        let standstill = |rng: &mut ChaCha8Rng| Fault::Pause(rng.random_range(0..options.daemons));
        faults.extend(series(options, rng, STANDSTILL_INTERVAL_MS, standstill));
        let loss = |rng: &mut ChaCha8Rng| Fault::LoseWrites(rng.random_range(0..REWRITE_MAX_MS));
        faults.extend(series(options, rng, LOSS_INTERVAL_MS, loss));
        let link = |rng: &mut ChaCha8Rng| {
            let daemon = rng.random_range(0..options.daemons);
            Fault::FailoverLink(daemon, random_mode(rng))
        };
        faults.extend(series(options, rng, FAILOVER_LINK_INTERVAL_MS, link));
        let member = |rng: &mut ChaCha8Rng| rng.random_range(0..options.groups * 3);
        let foreign = |rng: &mut ChaCha8Rng| Fault::ForeignEntry(member(rng));
        faults.extend(series(options, rng, FOREIGN_ENTRY_INTERVAL_MS, foreign));
        if options.sync_replicas() > 0 {
            let deaf = |rng: &mut ChaCha8Rng| Fault::Deaf(member(rng));
            faults.extend(series(options, rng, DEAF_INTERVAL_MS, deaf));
        }
    }
    faults.extend(series(options, rng, MOVE_INTERVAL_MS, |_| Fault::MoveDatabase));
    if options.has_organisations() {
        let rotation = |rng: &mut ChaCha8Rng| Fault::RotateKey(rng.random_range(0..COUNT));
        faults.extend(series(options, rng, ROTATION_INTERVAL_MS, rotation));
        // The first organisation keeps its limit.
        let limit = |rng: &mut ChaCha8Rng| {
            Fault::SetLimit(rng.random_range(1..COUNT), rng.random_range(LIMITS_PER_S))
        };
        faults.extend(series(options, rng, LIMIT_INTERVAL_MS, limit));
        if !options.is_planned_only() {
            let outages = series(options, rng, OUTAGE_INTERVAL_MS, |_| Fault::StoreDown);
            faults.extend(outages.into_iter().map(|outage| {
                let duration = Duration::from_millis(rng.random_range(OUTAGE_MS));
                ScheduledFault { duration, ..outage }
            }));
        }
    }
    // Drawn last, so that the other faults of a seed stay as they are.
    if options.replaces_daemons() {
        faults.extend(replacements(options, rng));
    }
    if options.sync_replicas() > 0 && !options.is_planned_only() {
        let absence =
            |rng: &mut ChaCha8Rng| Fault::AbsentMembers(rng.random_range(0..options.groups));
        faults.extend(series(options, rng, ABSENCE_INTERVAL_MS, absence));
    }
    faults
}

/// Replaces every daemon once, one after the other, from a random time in the first half of the run on.
fn replacements(options: &Options, rng: &mut ChaCha8Rng) -> Vec<ScheduledFault> {
    let mut at_ms = rng.random_range(0..=options.seconds * 500);
    let replacements = (0..options.daemons).map(|daemon| {
        at_ms += rng.random_range(REPLACE_INTERVAL_MS);
        let at = Duration::from_millis(at_ms);
        ScheduledFault { at, duration: Duration::ZERO, fault: Fault::Replace(daemon) }
    });
    replacements.collect()
}

/// Faults of one kind, with random intervals between their starts.
fn series(
    options: &Options,
    rng: &mut ChaCha8Rng,
    interval_ms: (u64, u64),
    choose: impl Fn(&mut ChaCha8Rng) -> Fault,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut at_ms = rng.random_range(0..interval_ms.1);
    while at_ms < options.seconds * 1_000 {
        let (at, fault) = (Duration::from_millis(at_ms), choose(rng));
        let duration = Duration::from_millis(rng.random_range(DURATION_MS.0..DURATION_MS.1));
        faults.push(ScheduledFault { at, duration, fault });
        at_ms += rng.random_range(interval_ms.0..interval_ms.1);
    }
    faults
}

fn mixed_faults(options: &Options, rng: &mut ChaCha8Rng) -> Vec<ScheduledFault> {
    let mut planned = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += rng.random_range(INTERVAL_MS.0..INTERVAL_MS.1);
        if at_ms >= options.seconds * 1_000 {
            return planned;
        }
        let fault = match options.is_planned_only() {
            true => planned_operation(options, rng),
            false => random_fault(options, rng),
        };
        let duration = Duration::from_millis(rng.random_range(DURATION_MS.0..DURATION_MS.1));
        planned.push(ScheduledFault { at: Duration::from_millis(at_ms), duration, fault });
    }
}

fn planned_operation(options: &Options, rng: &mut ChaCha8Rng) -> Fault {
    let daemon = rng.random_range(0..options.daemons);
    match rng.random_range(0..5) {
        0..3 => Fault::Terminate(daemon),
        3 => Fault::Hangup(daemon),
        _ => Fault::Configure,
    }
}

fn random_fault(options: &Options, rng: &mut ChaCha8Rng) -> Fault {
    let daemon = rng.random_range(0..options.daemons);
    let member = rng.random_range(0..options.groups * 3);
    let mode = random_mode(rng);
    let daemons = if rng.random_bool(0.3) { u64::MAX } else { rng.random() };
    let link_fault = LinkFault { mode, daemons };
    match rng.random_range(0..30) {
        0..3 => Fault::Kill(daemon),
        3 => Fault::KillAll,
        4..7 => Fault::Pause(daemon),
        7..9 => planned_operation(options, rng),
        9..12 => Fault::StoreLink(daemon, mode),
        12..14 => Fault::MemberLink(member, link_fault),
        14..17 => Fault::PrimaryLink(rng.random_range(0..options.groups), link_fault),
        17 => Fault::MemberCrash(member),
        18..20 => Fault::PrimaryCrash(rng.random_range(0..options.groups)),
        20 => Fault::StoreDown,
        21 => Fault::LoseAnswers(rng.random_range(1..6)),
        22 => Fault::Forget,
        23..26 => Fault::Partition(rng.random_range(0..options.groups), rng.random()),
        // At most two daemons, so that the others can replace the primary.
        26..29 => {
            let other = rng.random_range(0..options.daemons);
            Fault::Freeze(rng.random_range(0..options.groups), bit(daemon) | bit(other))
        }
        _ => Fault::Lag(rng.random_range(100..3_000)),
    }
}

fn random_mode(rng: &mut ChaCha8Rng) -> Mode {
    let delayed = Mode::Delayed(Duration::from_millis(rng.random_range(5..400)));
    let modes = [Mode::Silent, Mode::OneWay, Mode::Reset, delayed];
    *modes.choose(rng).unwrap_or(&Mode::Silent)
}

/// Bit mask of one daemon; empty for those beyond the first 64, which masks do not cover.
fn bit(daemon: usize) -> u64 {
    1u64.checked_shl(daemon as u32).unwrap_or(0)
}

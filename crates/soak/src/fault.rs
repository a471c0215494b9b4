use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::{
    options::Options,
    proxy::{LinkFault, Mode},
};

/// Pause between the beginnings of two faults, in ms.
const INTERVAL_MS: (u64, u64) = (300, 1_800);
/// Length of a fault, in ms: up to what a daemon bridges without the store, and beyond.
const DURATION_MS: (u64, u64) = (200, 6_000);

/// Something that goes wrong, or is planned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// A daemon is killed, and starts again at the end.
    Kill(usize),
    /// Every daemon is killed.
    KillAll,
    /// A daemon stands still.
    Pause(usize),
    /// A daemon is stopped as planned, and starts again once it has ended.
    Terminate(usize),
    /// A daemon reads its settings again.
    Hangup(usize),
    /// A daemon's way to the store.
    StoreLink(usize, Mode),
    /// The way of some daemons to a member.
    MemberLink(usize, LinkFault),
    /// The way of some daemons to a group's primary.
    PrimaryLink(usize, LinkFault),
    /// These daemons lose the store and keep a group's primary, the others keep the
    /// store and lose the primary, which hears of nothing.
    Partition(usize, u64),
    /// These daemons stand still, the others lose a group's primary, which hears of
    /// nothing until a second after they wake.
    Freeze(usize, u64),
    /// A member ends, and starts again at the end.
    MemberCrash(usize),
    /// A group's primary ends, and starts again at the end.
    PrimaryCrash(usize),
    /// The store refuses every call.
    StoreDown,
    /// Answers of the store's next writes are lost.
    LoseAnswers(u32),
    /// The store forgets its history.
    Forget,
    /// Replicas apply commits so many milliseconds late.
    Lag(u64),
    /// A configuration with one more database, or one fewer.
    Configure,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledFault {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
}

/// The faults of a run, in order; they may overlap.
pub(crate) fn schedule(options: &Options, rng: &mut ChaCha8Rng) -> Vec<ScheduledFault> {
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
    let delayed = Mode::Delayed(Duration::from_millis(rng.random_range(5..400)));
    let modes = [Mode::Silent, Mode::OneWay, Mode::Reset, delayed];
    let mode = *modes.choose(rng).unwrap_or(&Mode::Silent);
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
        // Two daemons at most, so that the others can change the primary.
        26..29 => {
            let other = rng.random_range(0..options.daemons);
            Fault::Freeze(rng.random_range(0..options.groups), 1 << daemon | 1 << other)
        }
        _ => Fault::Lag(rng.random_range(100..3_000)),
    }
}

use base::{Span, Time};
use rand::Rng;
use rand_chacha::ChaCha12Rng;

/// Fault that is injected for a limited time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Component that fails, and in which way.
    pub kind: FaultKind,
    /// Virtual time at which it begins.
    pub from: Time,
    /// Time until it ends by itself.
    pub duration: Span,
}

/// Kind of a fault. Members and daemons are given by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The member refuses connections, and its running statements fail.
    MemberDown(usize),
    /// The member answers nothing and resumes with its state intact.
    MemberPaused(usize),
    /// The member neither sends nor receives replication.
    ReplicationCut(usize),
    /// The connection between a daemon (first) and a member (second) is interrupted.
    LinkCut(usize, usize),
    /// The daemon processes nothing and resumes with its state intact.
    DaemonPaused(usize),
    /// The platform's store answers no daemon.
    StoreDown,
    /// The platform's store does not answer this daemon.
    StoreCut(usize),
    /// Writes to the platform's store take effect, but their replies are lost.
    RepliesLost,
    /// The platform's store loses what is written meanwhile: at the end it comes back from a copy
    /// that was taken at the start. Not among the random faults.
    StoreLosesWrites,
    /// Replication lags by seconds on every replica.
    ReplicasLag,
}

impl Fault {
    /// Returns a random fault that begins between 1 and 5 seconds and lasts 0.3 to 4 seconds.
    pub fn random(rng: &mut ChaCha12Rng) -> Fault {
        let member = rng.random_range(0..3);
        let daemon = rng.random_range(0..2);
        let kind = match rng.random_range(0..9) {
            0 => FaultKind::MemberDown(member),
            1 => FaultKind::MemberPaused(member),
            2 => FaultKind::ReplicationCut(member),
            3 => FaultKind::LinkCut(daemon, member),
            4 => FaultKind::DaemonPaused(daemon),
            5 => FaultKind::StoreDown,
            6 => FaultKind::RepliesLost,
            7 => FaultKind::StoreCut(daemon),
            _ => FaultKind::ReplicasLag,
        };
        Fault {
            kind,
            from: Time::from_micros(rng.random_range(1_000_000..5_000_000)),
            duration: Span::from_micros(rng.random_range(300_000..4_000_000)),
        }
    }

    /// Whether `now` lies within the fault's duration.
    pub fn is_active(&self, now: Time) -> bool {
        self.from <= now && now < self.until()
    }

    /// Virtual time at which it ends, exclusive.
    pub fn until(&self) -> Time {
        self.from + self.duration
    }
}

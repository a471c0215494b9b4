use base::{Span, Time};
use rand::Rng;
use rand_chacha::ChaCha12Rng;

/// A disturbance for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// What is disturbed.
    pub kind: FaultKind,
    /// When it begins.
    pub from: Time,
    /// How long it lasts.
    pub duration: Span,
}

/// What is disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// A member refuses connections and drops what runs.
    MemberDown(usize),
    /// A member answers nothing, then goes on where it was.
    MemberPaused(usize),
    /// Replication neither reaches nor leaves a member.
    ReplicationCut(usize),
    /// A daemon and a member do not reach each other.
    LinkCut(usize, usize),
    /// A daemon stands still, then goes on where it was.
    DaemonPaused(usize),
    /// The platform does not answer.
    StoreDown,
    /// The platform and a daemon do not reach each other.
    StoreCut(usize),
    /// The platform's replies are lost after the effect.
    RepliesLost,
    /// Replicas fall far behind.
    ReplicasLag,
}

impl Fault {
    /// A random fault that begins between 1 and 5 seconds.
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

    /// Whether it is in force at `now`.
    pub fn is_active(&self, now: Time) -> bool {
        self.from <= now && now < self.until()
    }

    /// When it ends.
    pub fn until(&self) -> Time {
        self.from + self.duration
    }
}

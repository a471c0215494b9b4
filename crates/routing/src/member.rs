use base::{MemberId, Position, Span, Term, Zone};

use crate::health::Health;

const LATENCY_SMOOTHING: u64 = 8;

/// What a member can take at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Statements that run at once.
    pub slots: u32,
    /// Connections open at once.
    pub connections: u32,
}

/// A member as the group's home sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the member.
    pub id: MemberId,
    /// Availability zone of the member.
    pub zone: Zone,
    /// What it can take at once.
    pub capacity: Capacity,
    /// Last known position; the true one is at or past it within a term.
    pub position: Position,
    /// Last known term.
    pub term: Term,
    /// Statements running there now.
    pub in_flight: u32,
    /// Connections open or being opened.
    pub open: u32,
    /// Open connections that nobody uses.
    pub idle: u32,
    /// Whether the platform or an operator takes it out of service.
    pub leaving: bool,
    /// Whether it answers.
    pub health: Health,
    /// Smoothed time that a statement takes there.
    pub latency: Span,
}

impl Member {
    /// A member of which nothing is known yet.
    pub fn new(id: MemberId, zone: Zone, capacity: Capacity) -> Member {
        Member {
            id,
            zone,
            capacity,
            position: Position::default(),
            term: Term::default(),
            in_flight: 0,
            open: 0,
            idle: 0,
            leaving: false,
            health: Health::default(),
            latency: Span::from_millis(1),
        }
    }

    /// Whether one more statement fits, connection included.
    pub fn has_room(&self) -> bool {
        self.free_slots() > 0 && (self.idle > 0 || self.open < self.capacity.connections)
    }

    /// Statements that could start now.
    pub fn free_slots(&self) -> u32 {
        self.capacity.slots.saturating_sub(self.in_flight)
    }

    /// Load for comparing members: running statements times their usual time.
    pub fn load(&self) -> u64 {
        u64::from(self.in_flight + 1) * self.latency.as_micros().max(1)
    }

    /// Notes how long a statement took.
    pub fn record_latency(&mut self, service: Span) {
        let old = self.latency.as_micros() * (LATENCY_SMOOTHING - 1);
        self.latency = Span::from_micros((old + service.as_micros()) / LATENCY_SMOOTHING);
    }
}

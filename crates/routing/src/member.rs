use base::{MemberId, Position, Span, Term, Zone};

use crate::health::Health;

/// A new sample has the weight 1/8 in the smoothed latency of statements.
const LATENCY_SMOOTHING_DIVISOR: u64 = 8;

/// Numbers of concurrent statements and connections that a member accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Number of statements that the member runs concurrently.
    pub slots: u32,
    /// Number of connections that may be open to the member concurrently.
    pub connections: u32,
}

/// A member, as known to the home of its group.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the member, unique within the deployment.
    pub id: MemberId,
    /// Availability zone in which the member runs.
    pub zone: Zone,
    /// Limits of concurrent statements and connections.
    pub capacity: Capacity,
    /// Last known end of the member's log. Within a term, the actual end is never lower.
    pub position: Position,
    /// Last known term; 0 if none is known.
    pub term: Term,
    /// Number of statements that are running on the member.
    pub in_flight: u32,
    /// Number of connections that are open or being opened, including idle ones.
    pub open: u32,
    /// Number of open connections that no request uses.
    pub idle: u32,
    /// Whether the platform or an operator is taking the member out of service.
    pub leaving: bool,
    /// Reachability of the member, and its ejection after failures.
    pub health: Health,
    /// Smoothed time that the member takes to run a statement.
    pub latency: Span,
}

impl Member {
    /// Creates a member without connections whose log position is not known yet.
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

    /// Whether another statement can start: a slot is free, and a connection is idle or
    /// can be opened.
    pub fn has_room(&self) -> bool {
        self.free_slots() > 0 && (self.idle > 0 || self.open < self.capacity.connections)
    }

    /// Number of slots in which no statement runs.
    pub fn free_slots(&self) -> u32 {
        self.capacity.slots.saturating_sub(self.in_flight)
    }

    /// Load by which members are compared: the number of statements that run, plus one
    /// for the next, times the smoothed time of a statement in microseconds.
    pub fn load(&self) -> u64 {
        u64::from(self.in_flight + 1) * self.latency.as_micros().max(1)
    }

    /// Adds the time that a statement took to the smoothed latency.
    pub fn record_latency(&mut self, service: Span) {
        let old = self.latency.as_micros() * (LATENCY_SMOOTHING_DIVISOR - 1);
        self.latency = Span::from_micros((old + service.as_micros()) / LATENCY_SMOOTHING_DIVISOR);
    }
}

use base::{OrganisationId, Rank};

/// The request that a class would start next, see [`Scheduler::next`](crate::Scheduler::next).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<T> {
    /// Identifier of the request.
    pub item: T,
    /// Organisation of its class.
    pub organisation: OrganisationId,
    /// Rank of its class.
    pub rank: Rank,
    /// Number of requests of the class that wait in the lane, this one included.
    pub waiting: u32,
    /// Index of the class.
    pub(crate) class: usize,
    /// Index of the request in the queue of its class and lane.
    pub(crate) place: usize,
    /// Whether the class is served for its floor rather than by urgency.
    pub(crate) by_floor: bool,
}

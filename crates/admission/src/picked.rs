use base::{OrganisationId, Span, Time};
use table::RowKey;

/// A request that the scheduler has started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Picked<T> {
    /// Identifier of the request.
    pub item: T,
    /// Name and rank under which it was queued.
    pub key: RowKey,
    /// Organisation under which it was queued.
    pub organisation: OrganisationId,
    /// Time between its arrival and its start.
    pub waited: Span,
    /// Time after which its caller no longer waits for the result.
    pub deadline: Time,
    /// Whether it was started to honour its row's floor rather than by urgency.
    pub by_floor: bool,
}

use base::{OrganisationId, Time};
use table::{Policy, RowKey};

use crate::lane::Lane;

/// A request offered to the scheduler.
#[derive(Clone, Debug)]
pub struct QueueRequest<T> {
    /// Identifier of the request.
    pub item: T,
    /// Name and rank under which it is queued.
    pub key: RowKey,
    /// Organisation that it is queued under, beside others of the same name and rank.
    pub organisation: OrganisationId,
    /// Limits and target of the name and rank, and the weight of the organisation if there is one.
    pub policy: Policy,
    /// Role of the members that may run it.
    pub lane: Lane,
    /// When it arrived. A request that is queued again because a member declined it keeps
    /// its first arrival time, and with it its place in the queue.
    pub since: Time,
    /// Time after which its caller no longer waits for the result.
    pub deadline: Time,
}

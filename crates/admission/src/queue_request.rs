use base::Time;
use table::{Policy, RowKey};

use crate::lane::Lane;

/// A request that asks to run.
#[derive(Clone, Debug)]
pub struct QueueRequest<T> {
    /// The request.
    pub item: T,
    /// Name and rank of the request.
    pub key: RowKey,
    /// Weight and limits of the name and rank.
    pub policy: Policy,
    /// Slots it competes for.
    pub lane: Lane,
    /// When it came. One that is asked again, since a member declined it, keeps its age.
    pub since: Time,
    /// When it stops being worth running.
    pub deadline: Time,
}

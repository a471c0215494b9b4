use base::Time;

/// Since when a daemon has been following a table of the store, and whether it has read the table
/// since. Until then, its rows may be outdated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FollowedSince {
    started_at: Time,
    is_current: bool,
}

impl FollowedSince {
    /// Starts to follow the table.
    pub(crate) fn new(started_at: Time) -> FollowedSince {
        FollowedSince { started_at, is_current: false }
    }

    /// Records an answer of the store to a question that was sent at `asked_at`.
    pub(crate) fn record_answer(&mut self, asked_at: Time) {
        self.is_current |= asked_at >= self.started_at;
    }

    /// Whether the table has been read since it is followed.
    pub(crate) fn is_current(self) -> bool {
        self.is_current
    }
}

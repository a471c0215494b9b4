use base::Position;

/// What is known of the logs that may hold acknowledged commits.
#[derive(Debug, Default)]
pub(crate) struct KnownLogs {
    /// Ends of the logs of the members that have answered, the old primary excluded.
    pub(crate) ends: Vec<Position>,
    /// Number of other members that may hold commits and have not answered; `None` if it is not known.
    pub(crate) missing: Option<usize>,
    /// End of the old primary's log, if it has answered.
    pub(crate) primary_end: Option<Position>,
}

impl KnownLogs {
    /// Position that no acknowledged commit exceeds, if each is held by at least `holders` of the
    /// members other than the old primary; `None` as long as too many of them have not answered or are not known.
    ///
    /// A commit at a position is held by the members that have answered and reach it, and at most
    /// by all that have not answered.
    pub(crate) fn acknowledged_end(mut self, holders: usize) -> Option<Position> {
        let holders_known = self.missing.and_then(|missing| holders.checked_sub(missing));
        let holders_known = holders_known.filter(|known| *known > 0);
        let by_members = holders_known.map(|known| {
            self.ends.sort_unstable();
            // With fewer members than holders, nothing can have been acknowledged.
            self.ends.iter().rev().nth(known - 1).copied().unwrap_or_default()
        });
        match (by_members, self.primary_end) {
            (Some(by_members), Some(primary_end)) => Some(by_members.min(primary_end)),
            (by_members, primary_end) => by_members.or(primary_end),
        }
    }
}

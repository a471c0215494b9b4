use base::Time;

/// Whether the known write positions cover every write of the group.
///
/// They do while no other daemon may run writes for the group, once the floor of all
/// callers is at or past everything that was written before.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Coverage {
    /// Another daemon may have run writes that are not known here.
    #[default]
    Unknown,
    /// No other daemon runs writes, but a probe round must still establish the floor.
    Establishing {
        /// First round that can establish the floor.
        round: u64,
        /// End of the exclusive period.
        until: Time,
    },
    /// Every write is covered.
    Complete {
        /// End of the exclusive period.
        until: Time,
    },
}

impl Coverage {
    /// The state at `now`, which is `Unknown` if the exclusive period has ended.
    pub(crate) fn at(self, now: Time) -> Coverage {
        match self {
            Coverage::Establishing { until, .. } | Coverage::Complete { until } if until <= now => {
                Coverage::Unknown
            }
            other => other,
        }
    }

    /// The state after an extension of the exclusive period. `next_round` is the first round
    /// that has not started.
    pub(crate) fn extend(self, until: Time, next_round: u64) -> Coverage {
        match self {
            Coverage::Unknown => Coverage::Establishing { round: next_round, until },
            Coverage::Establishing { round, until: old } => {
                Coverage::Establishing { round, until: old.max(until) }
            }
            Coverage::Complete { until: old } => Coverage::Complete { until: old.max(until) },
        }
    }
}

use std::time::{Duration, Instant};

/// Time within which an accepted configuration must be in force, as the users require.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);

/// When the extra database was added to the configuration and removed from it, and how that
/// limits the answers to a request for it.
#[derive(Debug, Default)]
pub(crate) struct ConfigHistory {
    changes: Vec<Change>,
    /// When no daemon could follow the store for the last time.
    unfollowed_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    /// `None` while the store has not acknowledged it, though it may be in force.
    acknowledged_at: Option<Instant>,
    /// Whether the database exists from then on.
    exists: bool,
}

/// How a daemon dealt with a request for the extra database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Treatment {
    /// The database was said not to exist.
    Denied,
    /// A statement was run.
    Run,
}

impl ConfigHistory {
    /// Records that a change is about to be sent to the store.
    pub(crate) fn begin_change(&mut self, exists: bool) {
        self.changes.push(Change { acknowledged_at: None, exists });
    }

    /// Records that the store has acknowledged the last change.
    pub(crate) fn acknowledge_change(&mut self) {
        if let Some(change) = self.changes.last_mut() {
            change.acknowledged_at = Some(Instant::now());
        }
    }

    /// Records that no daemon can follow the store at present, so that none can learn of changes.
    pub(crate) fn record_unfollowed(&mut self) {
        self.unfollowed_at = Some(Instant::now());
    }

    /// Whether only an outdated configuration allows this treatment of a request that was sent at
    /// `sent_at` and has just been answered. Denials are judged at all times: a daemon that cannot
    /// know must not deny. What is run by a configuration that no daemon could replace is allowed.
    pub(crate) fn is_outdated(&self, treatment: Treatment, sent_at: Instant) -> bool {
        let due = self.changes.iter().enumerate().rev().find_map(|(index, change)| {
            let known = change.acknowledged_at.filter(|at| *at + CONFIG_LIMIT < sent_at)?;
            Some((index, known))
        });
        let Some((due, known)) = due else { return false };
        if treatment == Treatment::Run && self.unfollowed_at.is_some_and(|at| at >= known) {
            return false;
        }
        let allows = treatment == Treatment::Run;
        self.changes[due..].iter().all(|it| it.exists != allows)
    }
}

#[cfg(test)]
mod tests;

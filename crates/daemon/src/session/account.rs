use std::rc::Rc;

use accounts::{Accounts, Host};
use base::Time;
use budget::{Limits, Reason};

use crate::{clock::Clock, metrics::Metrics};

/// Mebibyte, the unit of the setting `limits.memory_mb`.
const MIB: u64 = 1024 * 1024;
/// Descriptors for others than callers, if the process has no limit.
const OTHER_DESCRIPTORS: u64 = 1_000;

/// The accounts of this daemon's sessions.
pub(crate) type CallerAccounts = Accounts<CallerHost>;
/// The account of a session.
pub(crate) type Account = accounts::Account<CallerHost>;

/// Clock and counters for the accounts.
pub(crate) struct CallerHost {
    pub(crate) clock: Clock,
    pub(crate) metrics: Rc<Metrics>,
}

impl Host for CallerHost {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn count_refused(&self, reason: Reason) {
        self.metrics.count(match reason {
            Reason::Sessions => "refused_clients.sessions",
            Reason::Startup => "refused_clients.startup",
            Reason::SlowMessage => "refused_clients.slow_message",
            Reason::LongMessage => "refused_clients.long_message",
            Reason::UnreadAnswer => "refused_clients.unread_answer",
            Reason::NoMemory => "refused_clients.no_memory",
            Reason::LargestHolder => "refused_clients.largest_holder",
            Reason::Stored => "refused_clients.stored",
        });
    }
}

/// What the sessions of callers and of other daemons may use. Without a limit on descriptors,
/// `limits.connections` bounds them: each may have a successor that has not sent its start-up
/// message yet.
pub(crate) fn limits(settings: &settings::Limits) -> Limits {
    let descriptors =
        settings.max_fds.unwrap_or(2 * u64::from(settings.connections) + OTHER_DESCRIPTORS);
    Limits::new(settings.memory_mb.map(|mb| mb.saturating_mul(MIB)), Some(descriptors))
}

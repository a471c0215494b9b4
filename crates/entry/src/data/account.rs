use std::sync::Arc;

use accounts::{Accounts, Host};
use base::Time;
use budget::Reason;

use crate::{clock, shared::Shared};

/// The accounts of this daemon's sessions.
pub(crate) type CallerAccounts = Accounts<CallerHost>;
/// The account of a session.
pub(crate) type Account = accounts::Account<CallerHost>;

/// Clock and counters for the accounts.
#[derive(Debug)]
pub(crate) struct CallerHost {
    pub(crate) shared: Arc<Shared>,
}

impl Host for CallerHost {
    fn now(&self) -> Time {
        clock::now()
    }

    fn count_refused(&self, reason: Reason) {
        self.shared.count_client(reason);
    }
}

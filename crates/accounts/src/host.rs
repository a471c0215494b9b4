use base::Time;
use budget::Reason;

/// The daemon that the accounts belong to.
pub trait Host: 'static {
    /// Reads the clock.
    fn now(&self) -> Time;
    /// Counts a caller that was refused or closed.
    fn count_refused(&self, reason: Reason);
}

use base::Time;
use rustix::time::{ClockId, clock_gettime};

/// The present time of a clock that runs on while the VM is suspended, so that a
/// grant lapses then too.
pub(crate) fn now() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    Time::from_micros(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
}

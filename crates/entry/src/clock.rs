use base::Time;
use rustix::time::{ClockId, clock_gettime};

/// Reads the boot-time clock. It keeps counting while the VM is suspended, so that a
/// grant also expires during a suspension.
pub(crate) fn now() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    Time::from_micros(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
}

use std::{sync::OnceLock, time::Instant};

use base::Time;

/// Monotonic time since the first call, shared by the whole process.
pub(crate) fn now() -> Time {
    static START: OnceLock<Instant> = OnceLock::new();
    Time::from_micros(START.get_or_init(Instant::now).elapsed().as_micros() as u64)
}

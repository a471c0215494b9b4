use std::{sync::OnceLock, time::Instant};

use base::Time;

/// Time since the first question.
pub(crate) fn now() -> Time {
    static START: OnceLock<Instant> = OnceLock::new();
    Time::from_micros(START.get_or_init(Instant::now).elapsed().as_micros() as u64)
}

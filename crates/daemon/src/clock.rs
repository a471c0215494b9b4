use std::time::Instant;

use base::Time;

/// Monotonic clock of the daemon. Copies agree, so its threads can exchange times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    pub(crate) fn now(self) -> Time {
        Time::from_micros(self.start.elapsed().as_micros() as u64)
    }
}

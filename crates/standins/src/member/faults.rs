use std::time::Duration;

/// Faults that a member injects, set by `SELECT standin_set('NAME', NUMBER)`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// `lag_ms`: time between a commit and its application on this member.
    pub replication_lag: Duration,
    /// `service_us`: minimum time for which a statement occupies its slot.
    pub service: Duration,
    /// `paused`: handles no message until it is set to 0.
    pub paused: bool,
    /// `cut`: replication neither reaches nor leaves the member.
    pub cut: bool,
    /// `down`: closes every connection and accepts no new ones, except those of
    /// sessions that set faults.
    pub down: bool,
    /// `late_ms`: time by which replies are delayed after the statement has taken effect.
    pub reply_delay: Duration,
    /// `lose_answer`: the next commit takes effect, then the connection closes without a
    /// reply.
    pub lose_answer: bool,
}

impl Faults {
    /// Sets a fault by name, flags by 0 and 1. Returns whether there is a fault of this name.
    pub fn set(&mut self, name: &str, value: u64) -> bool {
        match name {
            "lag_ms" => self.replication_lag = Duration::from_millis(value),
            "service_us" => self.service = Duration::from_micros(value),
            "paused" => self.paused = value != 0,
            "cut" => self.cut = value != 0,
            "down" => self.down = value != 0,
            "late_ms" => self.reply_delay = Duration::from_millis(value),
            "lose_answer" => self.lose_answer = value != 0,
            _ => return false,
        }
        true
    }
}

use std::time::Duration;

/// Disturbances of a member, set by `SELECT standin_set('NAME', NUMBER)`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// `lag_ms`: time by which its replication lags.
    pub replication_lag: Duration,
    /// `service_us`: least time that a statement holds its slot.
    pub service: Duration,
    /// `paused`: answers nothing until set to 0.
    pub paused: bool,
    /// `cut`: neither sends nor receives replication.
    pub cut: bool,
    /// `down`: closes every connection and accepts none.
    pub down: bool,
    /// `late_ms`: answers are held back, after the statement has taken effect.
    pub reply_delay: Duration,
    /// `lose_answer`: the connection closes after the next commit, unanswered.
    pub lose_answer: bool,
}

impl Faults {
    /// Sets a fault by name; whether the name is known.
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

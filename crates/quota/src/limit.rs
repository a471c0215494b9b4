/// Highest rate and burst, in operations per second and operations.
const MAX_RATE: f64 = 1_000_000.0;

/// An organisation's limit over all carriers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Tokens that are added per second.
    pub rate: f64,
    /// Tokens that can be saved up.
    pub capacity: f64,
}

impl Limit {
    /// Creates the limit under which any window of any length contains at most
    /// (`per_second` x window + `burst`) x (1 + `overshoot`) + `slack` operations. Negative values
    /// and those that are not a number count as 0; huge rates and bursts as 1,000,000.
    pub fn new(per_second: f64, burst: f64, overshoot: f64, slack: f64) -> Limit {
        let factor = 1.0 + sanitize(overshoot);
        Limit {
            rate: sanitize(per_second) * factor,
            capacity: sanitize(burst) * factor + sanitize(slack),
        }
    }

    /// The part of the limit that `fraction` stands for.
    pub(crate) fn scale(self, fraction: f64) -> Limit {
        Limit { rate: self.rate * fraction, capacity: self.capacity * fraction }
    }
}

fn sanitize(value: f64) -> f64 {
    if value.is_nan() { 0.0 } else { value.clamp(0.0, MAX_RATE) }
}

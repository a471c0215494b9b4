/// Highest rate that an organisation can have, in operations per second. The sums over all
/// organisations and a window remain exact far beyond it.
const MAX_RATE: f64 = 1_000_000.0;

/// An organisation, to which callers belong by their API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name by which members know the organisation.
    pub name: String,
    /// Scheduling priority within a rank; 0 is the highest.
    pub priority: u32,
    /// Limit of its operations over the whole fleet; `None` if it has none.
    pub limit: Option<RateLimit>,
}

/// Limit of an organisation's operations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Operations per second.
    pub per_second: f64,
    /// Operations that may be run at once after a pause.
    pub burst: f64,
}

impl RateLimit {
    /// Creates a limit. Values that are negative or not a number count as 0, and larger ones as
    /// the highest rate.
    pub fn new(per_second: f64, burst: f64) -> RateLimit {
        RateLimit { per_second: sanitize(per_second), burst: sanitize(burst) }
    }
}

impl Organisation {
    /// Weight by which the organisation shares slot time with others of the same rank: its rate,
    /// times a factor for its priority.
    pub fn weight(&self) -> u32 {
        let factor = match self.priority {
            0 => 4,
            1 => 2,
            _ => 1,
        };
        let rate = self.limit.map_or(1.0, |limit| limit.per_second.max(1.0));
        rate as u32 * factor
    }

    /// Whether the name can be sent to members, as one word of a line.
    pub fn is_valid_name(name: &str) -> bool {
        !name.is_empty() && !name.chars().any(|c| c.is_whitespace() || c.is_control())
    }
}

fn sanitize(value: f64) -> f64 {
    if value.is_nan() { 0.0 } else { value.clamp(0.0, MAX_RATE) }
}

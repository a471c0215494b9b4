use base::Span;

/// What a daemon says of a group's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum PrimaryHealth {
    /// It answers.
    Good,
    /// It has not answered for this long although it was asked.
    Silent(Span),
    /// Its address refuses connections.
    Refused,
}

/// What follows from the opinions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Assessment {
    /// Keep the primary.
    Keep,
    /// Name another one.
    Replace,
}

/// Silence that counts as failure: longer than a statement takes on a slow member
/// whose queue is full, and short against the time that a change takes.
const FAILED_AFTER: Span = Span::from_millis(700);
/// Share of the daemons, in percent, that must miss the primary while others reach
/// it. Below, their callers do better through other daemons than all do during a
/// change.
const MISSED_BY_PERCENT: usize = 40;

/// Weighs the daemons' opinions of a primary.
pub fn assess(opinions: &[PrimaryHealth]) -> Assessment {
    let missing = opinions.iter().filter(|opinion| match opinion {
        PrimaryHealth::Good => false,
        PrimaryHealth::Silent(silence) => *silence >= FAILED_AFTER,
        PrimaryHealth::Refused => true,
    });
    let missing = missing.count();
    if missing > 0 && missing * 100 >= opinions.len() * MISSED_BY_PERCENT {
        Assessment::Replace
    } else {
        Assessment::Keep
    }
}

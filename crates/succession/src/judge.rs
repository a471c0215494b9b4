use base::Span;

/// What a daemon says of a group's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Opinion {
    /// It answers.
    Good,
    /// It has not answered for this long although it was asked.
    Silent(Span),
    /// Its address refuses connections.
    Refused,
}

/// What follows from the opinions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
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
pub fn judge(opinions: &[Opinion]) -> Verdict {
    let missing = opinions.iter().filter(|opinion| match opinion {
        Opinion::Good => false,
        Opinion::Silent(silence) => *silence >= FAILED_AFTER,
        Opinion::Refused => true,
    });
    let missing = missing.count();
    if missing > 0 && missing * 100 >= opinions.len() * MISSED_BY_PERCENT {
        Verdict::Replace
    } else {
        Verdict::Keep
    }
}

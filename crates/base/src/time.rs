use std::ops;

/// Instant of a monotonic clock, in microseconds since an arbitrary start.
///
/// The decision crates receive the current time as an argument and read no clock, so their
/// tests run in virtual time.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Time(u64);

/// Duration in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Span(u64);

impl Time {
    /// Creates the instant `micros` microseconds after the clock's start.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Microseconds since the clock's start.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Time that has passed since `earlier`; zero if `earlier` is the later one.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// The instant `span` before this one, or the clock's start if that is later.
    pub fn before(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Span {
    /// A duration of zero.
    pub const ZERO: Span = Span(0);

    /// Creates a duration of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Span {
        Span(micros)
    }

    /// Creates a duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis * 1_000)
    }

    /// Number of microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Number of whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl ops::Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0 + span.0)
    }
}

impl ops::Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

//! The part of a refusal's text that says when to retry.

use base::Span;
use rand::Rng;

/// Shortest time after which a refused caller is told to retry: an interval of the pool's checks.
const MIN_RETRY_DELAY: Span = Span::from_millis(20);
/// Longest one. What is known of loads and limits is renewed several times a second.
const MAX_RETRY_DELAY: Span = Span::from_millis(10_000);
/// The time is longer by a random part of up to one in this many, so that callers which are refused
/// together do not return together.
const JITTER_DIVISOR: u64 = 4;

/// Text of a refusal of an operation that would be served after `wait`.
pub(super) fn with_retry(reason: &str, wait: Span) -> String {
    let jitter = rand::rng().random_range(0.0..=1.0);
    format!("{reason}; retry after {} ms", retry_after(wait, jitter).as_millis())
}

/// When a caller is told to retry; `jitter` is between 0 and 1.
pub(super) fn retry_after(wait: Span, jitter: f64) -> Span {
    let wait = wait.max(MIN_RETRY_DELAY).min(MAX_RETRY_DELAY).as_micros();
    let longest = (wait / JITTER_DIVISOR) as f64;
    Span::from_micros(wait + (longest * jitter.clamp(0.0, 1.0)) as u64)
}

#[cfg(test)]
mod tests;

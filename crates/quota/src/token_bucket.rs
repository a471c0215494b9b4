use base::{Span, Time};

use crate::seconds;

/// Longest time after which a retry is suggested. A bucket that cannot hold a token has no time at
/// which it will have one, until its share of the limit changes.
const MAX_RETRY_DELAY: Span = Span::from_millis(1_000);
/// Rounding errors of sums of tokens.
const EPSILON: f64 = 1e-9;

/// Token bucket whose rate and capacity may change at any time.
///
/// Tokens above the capacity are dropped. When the capacity grows, no tokens are added to the
/// bucket, except by the rate from then on.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Time,
    /// When the last token was taken.
    taken_at: Time,
    /// Tokens that were taken since then can be returned.
    returnable_since: Time,
    /// Least room for more tokens since then.
    room: f64,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Time) -> TokenBucket {
        TokenBucket::with_tokens(now, 0.0)
    }

    /// Creates a bucket that contains some tokens.
    pub(crate) fn with_tokens(now: Time, tokens: f64) -> TokenBucket {
        TokenBucket {
            tokens,
            updated_at: now,
            taken_at: Time::default(),
            returnable_since: now,
            room: f64::INFINITY,
        }
    }

    /// Adds the tokens of the time since the last call, during all of which `rate` (per second) and
    /// `capacity` applied.
    pub fn advance(&mut self, now: Time, rate: f64, capacity: f64) {
        let added = rate * seconds(now.since(self.updated_at));
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + added).min(capacity);
        self.room = self.room.min(capacity - self.tokens);
        if self.room < 1.0 {
            // Not those that were taken earlier in the same microsecond.
            let elapsed = if self.taken_at < self.updated_at { 0 } else { 1 };
            self.returnable_since = self.updated_at + Span::from_micros(elapsed);
            self.room = f64::INFINITY;
        }
    }

    /// Adds tokens, of which those above the capacity are dropped by the next [`TokenBucket::advance`].
    pub(crate) fn add(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Takes a token, or returns the time after which there will be one if none is taken before.
    /// `rate` and `capacity` have applied since the last call.
    pub fn take(&mut self, now: Time, rate: f64, capacity: f64) -> Result<(), Span> {
        self.take_above(now, rate, capacity, 0.0)
    }

    /// The same if some of the tokens are `reserved` and must be left.
    pub(crate) fn take_above(
        &mut self,
        now: Time,
        rate: f64,
        capacity: f64,
        reserved: f64,
    ) -> Result<(), Span> {
        self.advance(now, rate, capacity);
        let available = self.tokens - reserved;
        if available >= 1.0 - EPSILON {
            self.tokens = (self.tokens - 1.0).max(0.0);
            self.taken_at = self.updated_at;
            return Ok(());
        }
        if capacity - reserved < 1.0 || rate <= 0.0 {
            return Err(MAX_RETRY_DELAY);
        }
        let micros = ((1.0 - available) / rate * 1e6).ceil();
        Err(Span::from_micros(micros as u64).min(MAX_RETRY_DELAY))
    }

    /// Returns the token that was taken at `taken_at`, or drops it if there has been no room for it
    /// since then: had it not been taken, another token would not have been added.
    pub fn give_back(&mut self, taken_at: Time) {
        if self.returnable_since <= taken_at && self.room >= 1.0 {
            self.tokens += 1.0;
            self.room -= 1.0;
        }
    }

    /// Time of the last update.
    pub(crate) fn updated_at(&self) -> Time {
        self.updated_at
    }
}

const TENTHS_EARNED_PER_REQUEST: u32 = 1;
const TENTHS_SPENT_PER_RETRY: u32 = 10;

/// Token bucket that limits retries to a tenth of the requests in the long run. A burst of
/// retries may exceed that; later requests refill the bucket.
///
/// Without this limit, a fault that makes every request fail would multiply the load by
/// the number of attempts per request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    /// Retries left, in tenths of a retry.
    tenths: u32,
    /// Capacity of the bucket, in tenths of a retry.
    max_tenths: u32,
}

impl RetryBudget {
    /// Creates a full budget, which allows `burst` retries at once.
    pub fn new(burst: u32) -> RetryBudget {
        let max_tenths = burst * TENTHS_SPENT_PER_RETRY;
        RetryBudget { tenths: max_tenths, max_tenths }
    }

    /// Records a new request, which adds a tenth of a retry to the budget.
    pub fn record_request(&mut self) {
        self.tenths = (self.tenths + TENTHS_EARNED_PER_REQUEST).min(self.max_tenths);
    }

    /// Spends one retry. Returns false, and leaves the budget as it is, if less than a
    /// whole retry is left.
    pub fn take(&mut self) -> bool {
        match self.tenths.checked_sub(TENTHS_SPENT_PER_RETRY) {
            Some(rest) => {
                self.tenths = rest;
                true
            }
            None => false,
        }
    }
}

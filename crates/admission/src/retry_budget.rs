const TENTHS_FOR_REQUEST: u32 = 1;
const TENTHS_FOR_RETRY: u32 = 10;

/// Bounds retries to a tenth of the requests, after a first few.
///
/// Without it, a fault that makes every request fail would multiply the load by
/// the number of tries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    tenths: u32,
    most_tenths: u32,
}

impl RetryBudget {
    /// A full budget of `burst` retries.
    pub fn new(burst: u32) -> RetryBudget {
        let most_tenths = burst * TENTHS_FOR_RETRY;
        RetryBudget { tenths: most_tenths, most_tenths }
    }

    /// Notes a new request, which earns a tenth of a retry.
    pub fn record_request(&mut self) {
        self.tenths = (self.tenths + TENTHS_FOR_REQUEST).min(self.most_tenths);
    }

    /// Takes a retry out of the budget; whether there was one.
    pub fn take(&mut self) -> bool {
        match self.tenths.checked_sub(TENTHS_FOR_RETRY) {
            Some(rest) => {
                self.tenths = rest;
                true
            }
            None => false,
        }
    }
}

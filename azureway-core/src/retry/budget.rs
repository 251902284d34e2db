//! The share of traffic that may be retries.

/// A budget that lets retries be no more than a stated share of requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    tenths: u32,
}

/// The cost of a retry, in hundredths of a request.
const RETRY_COST: u32 = 100;
/// The most that can be saved up, in hundredths: ten retries.
const SAVED_MAX: u32 = 10 * RETRY_COST;

impl RetryBudget {
    /// Creates a full budget that each request refills by `percent` of a retry.
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            tenths: SAVED_MAX,
        }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.tenths = (self.tenths + self.percent).min(SAVED_MAX);
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        match self.tenths.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.tenths = rest;
                true
            }
            None => false,
        }
    }
}

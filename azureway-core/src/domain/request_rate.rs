//! A rate of requests.

/// A rate of requests, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(u64);

/// The number of units in one request per second.
const SCALE: f64 = 1_000.0;

impl RequestRate {
    /// Creates a rate from requests per second, or returns `None` if it is negative or not finite.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let valid = rate.is_finite() && rate >= 0.0;
        valid.then(|| Self((rate * SCALE).round() as u64))
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / SCALE
    }
}

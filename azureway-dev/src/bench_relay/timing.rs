//! The times of one answer.

use std::time::Duration;

/// The times of one answer.
#[derive(Clone, Debug, Default)]
pub struct Timing {
    /// The time to the first event.
    pub ttft: Duration,
    /// The times between two events.
    pub gaps: Vec<Duration>,
}

impl Timing {
    /// Returns a percentile of `times`, or zero of none.
    pub fn percentile(mut times: Vec<Duration>, percent: usize) -> Duration {
        times.sort_unstable();
        let index = (times.len() * percent).div_ceil(100).saturating_sub(1);
        times.get(index).copied().unwrap_or_default()
    }
}

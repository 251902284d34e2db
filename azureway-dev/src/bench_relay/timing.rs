//! The latencies that the relay benchmark records for one stream.

use std::time::Duration;

/// The latencies of one streamed answer.
#[derive(Clone, Debug, Default)]
pub struct Timing {
    /// The time from the start of the call to the first event.
    pub ttft: Duration,
    /// The times between successive events.
    pub gaps: Vec<Duration>,
}

impl Timing {
    /// Returns a percentile of `times` by the nearest rank, or zero if `times` is empty.
    pub fn percentile(mut times: Vec<Duration>, percent: usize) -> Duration {
        times.sort_unstable();
        let index = (times.len() * percent).div_ceil(100).saturating_sub(1);
        times.get(index).copied().unwrap_or_default()
    }
}

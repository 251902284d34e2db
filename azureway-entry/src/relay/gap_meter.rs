//! Token gaps of a stream for the metrics, without a message for each event.

use std::time::{Duration, Instant};

use azureway_core::prelude::Rank;
use flume::Sender;

use crate::meter::MetricEvent;

/// Measures the time between the events of a stream and reports it in batches to the
/// measuring duty.
#[derive(Debug)]
pub struct GapMeter {
    rank: Rank,
    last_event: Option<Instant>,
    gaps: Vec<Duration>,
    meter: Sender<MetricEvent>,
}

/// The number of gaps that are reported together.
const BATCH_SIZE: usize = 32;

impl GapMeter {
    /// Creates the meter of a stream of `rank` that has no events yet.
    pub const fn new(rank: Rank, meter: Sender<MetricEvent>) -> Self {
        Self {
            rank,
            last_event: None,
            gaps: Vec::new(),
            meter,
        }
    }

    /// Records an event.
    pub fn record_event(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_event.replace(now) {
            self.gaps.push(now.duration_since(last));
        }
        if self.gaps.len() >= BATCH_SIZE {
            self.flush();
        }
    }

    /// Reports the recorded gaps. They are dropped if the ring is full, so that a stream never
    /// waits for its metrics.
    fn flush(&mut self) {
        if !self.gaps.is_empty() {
            let gaps = std::mem::take(&mut self.gaps);
            let _ = self.meter.try_send(MetricEvent::TokenGaps(self.rank, gaps));
        }
    }
}

impl Drop for GapMeter {
    fn drop(&mut self) {
        self.flush();
    }
}

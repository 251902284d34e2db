//! The time between the events of a stream.

use std::time::{Duration, Instant};

use azureway_core::prelude::Rank;
use flume::Sender;

use crate::meter::MetricEvent;

/// The time between the events of a stream, told to the measuring duty some at a time.
#[derive(Debug)]
pub struct GapMeter {
    rank: Rank,
    last: Option<Instant>,
    gaps: Vec<Duration>,
    meter: Sender<MetricEvent>,
}

/// The gaps that are told at once.
const BATCH: usize = 32;

impl GapMeter {
    /// Creates the pace of a stream of `rank` that has not begun.
    pub const fn new(rank: Rank, meter: Sender<MetricEvent>) -> Self {
        Self {
            rank,
            last: None,
            gaps: Vec::new(),
            meter,
        }
    }

    /// Notes an event.
    pub fn tick(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last.replace(now) {
            self.gaps.push(now.duration_since(last));
        }
        if self.gaps.len() >= BATCH {
            self.tell();
        }
    }

    /// Tells what has been noted. Gaps that find the ring full are lost: streams do not wait.
    fn tell(&mut self) {
        if !self.gaps.is_empty() {
            let gaps = std::mem::take(&mut self.gaps);
            let _ = self.meter.try_send(MetricEvent::TokenGaps(self.rank, gaps));
        }
    }
}

impl Drop for GapMeter {
    fn drop(&mut self) {
        self.tell();
    }
}

//! Sending of log lines to the writer without blocking, up to a rate limit.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use flume::Sender;

use super::{LogFlusher, LogWriter};

/// The sending side of the bounded channel of log lines. A line beyond the rate limit or the
/// channel's capacity is dropped and counted.
#[derive(Debug)]
pub struct LogSender {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    available: u32,
    period_start: Instant,
}

/// The capacity of the channel in lines, about the number that the rate limit allows per second.
const CHANNEL_CAPACITY: usize = 1_024;
/// The maximum number of lines per period. At this rate a small instance at its peak can log
/// several lines for each request, and writing them costs little.
const LINES_PER_PERIOD: u32 = 1_000;
/// The period of the rate limit.
const PERIOD: Duration = Duration::from_secs(1);

impl LogSender {
    /// Creates the sending side of the channel, the writer that receives from it, and the flusher
    /// that waits until the writer has written all queued lines.
    pub fn new() -> (Self, LogWriter, LogFlusher) {
        let (lines, receiver) = flume::bounded(CHANNEL_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let (flushed, flush_signal) = flume::bounded(1);
        let writer = LogWriter::new(receiver, Arc::clone(&dropped), flushed);
        let flusher = LogFlusher::new(lines.clone(), flush_signal);
        let sender = Self {
            lines,
            dropped,
            available: LINES_PER_PERIOD,
            period_start: Instant::now(),
        };
        (sender, writer, flusher)
    }

    /// Returns whether the rate limit allows one more line, and counts it.
    fn allows(&mut self) -> bool {
        if self.period_start.elapsed() >= PERIOD {
            (self.available, self.period_start) = (LINES_PER_PERIOD, Instant::now());
        }
        let allowed = self.available > 0;
        self.available = self.available.saturating_sub(1);
        allowed
    }
}

impl Write for LogSender {
    /// Queues a line. It never blocks and never fails, so that logging cannot delay a duty.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.allows() || self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

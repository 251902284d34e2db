//! The side of the logs that duties write to.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use flume::Sender;

use super::{LogFlusher, LogWriter};

/// The side of the logs that duties write to. A line that is too much is dropped and counted.
#[derive(Debug)]
pub struct LogRing {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    left: u32,
    since: Instant,
}

/// The lines that wait to be written: about a second of them.
const RING_SIZE: usize = 1_024;
/// The lines that are taken in a second: several for each request that a small instance serves
/// in that time at its peak, and few enough to cost it little.
const LINES_MAX: u32 = 1_000;
/// The time after which lines are taken anew.
const PERIOD: Duration = Duration::from_secs(1);

impl LogRing {
    /// Creates the ring, the duty that empties it, and the end of both.
    pub fn new() -> (Self, LogWriter, LogFlusher) {
        let (lines, written) = flume::bounded(RING_SIZE);
        let dropped = Arc::new(AtomicU64::new(0));
        let (done, last) = flume::bounded(1);
        let writer = LogWriter::new(written, Arc::clone(&dropped), done);
        let end = LogFlusher::new(lines.clone(), last);
        let ring = Self {
            lines,
            dropped,
            left: LINES_MAX,
            since: Instant::now(),
        };
        (ring, writer, end)
    }

    /// Tells whether the rate allows one more line.
    fn allows(&mut self) -> bool {
        if self.since.elapsed() >= PERIOD {
            (self.left, self.since) = (LINES_MAX, Instant::now());
        }
        let allowed = self.left > 0;
        self.left = self.left.saturating_sub(1);
        allowed
    }
}

impl Write for LogRing {
    /// Takes a line. It never waits and never fails: whoever logs has other work.
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

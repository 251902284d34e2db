//! The flush of the logs at the end of a process.

use std::time::Duration;

use flume::{Receiver, Sender};

/// Flushes the logs at the end of a process.
#[derive(Debug)]
pub struct LogFlusher {
    lines: Sender<Vec<u8>>,
    flushed: Receiver<()>,
}

/// The longest wait for an output that is blocked.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

impl LogFlusher {
    /// Creates a flusher for the ring `lines`, whose writer signals `flushed` at an empty line.
    pub const fn new(lines: Sender<Vec<u8>>, flushed: Receiver<()>) -> Self {
        Self { lines, flushed }
    }

    /// Waits until all queued lines are written, for a bounded time.
    pub fn flush(self) {
        if self.lines.send_timeout(Vec::new(), FLUSH_TIMEOUT).is_ok() {
            // After a timeout the last lines are lost, and there is nowhere to report it.
            let _ = self.flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

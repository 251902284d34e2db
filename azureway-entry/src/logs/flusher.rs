//! Writing out the last log lines before a process ends.

use std::time::Duration;

use flume::{Receiver, Sender};

/// Flushes the logs at the end of a process.
#[derive(Debug)]
pub struct LogFlusher {
    lines: Sender<Vec<u8>>,
    flushed: Receiver<()>,
}

/// The time limit for each of the two waits of a flush if the output is blocked.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

impl LogFlusher {
    /// Creates a flusher that sends an empty line to `lines` and then waits for `flushed`, which
    /// the writer signals at that line.
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

//! The end of the logs.

use std::time::Duration;

use flume::{Receiver, Sender};

/// Lets a process that ends write its last lines.
#[derive(Debug)]
pub struct LogFlusher {
    lines: Sender<Vec<u8>>,
    written: Receiver<()>,
}

/// How long a process that ends waits for an output that takes nothing.
const LIMIT: Duration = Duration::from_millis(200);

impl LogFlusher {
    /// Creates the end of a ring whose writer tells when it has come to an empty line.
    pub const fn new(lines: Sender<Vec<u8>>, written: Receiver<()>) -> Self {
        Self { lines, written }
    }

    /// Waits until what was logged is written, for a bounded time.
    pub fn flush(self) {
        if self.lines.send_timeout(Vec::new(), LIMIT).is_ok() {
            // Without an answer in time the last lines are lost, and nobody can be told.
            let _ = self.written.recv_timeout(LIMIT);
        }
    }
}

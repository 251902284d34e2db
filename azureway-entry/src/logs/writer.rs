//! The thread that writes the log lines to the output.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use flume::{Receiver, Sender};

/// The duty that writes the log lines, and a line with the number of dropped ones.
#[derive(Debug)]
pub struct LogWriter {
    lines: Receiver<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    flushed: Sender<()>,
}

impl LogWriter {
    /// Creates the duty that writes `lines`. It signals `flushed` after each empty line, and logs
    /// and resets the count `dropped`.
    pub const fn new(
        lines: Receiver<Vec<u8>>,
        dropped: Arc<AtomicU64>,
        flushed: Sender<()>,
    ) -> Self {
        Self {
            lines,
            dropped,
            flushed,
        }
    }

    /// Writes until every sender of lines is dropped. If the output fails, the lines are lost and
    /// the daemon continues, since there is nowhere to report the error.
    pub fn run(self, out: &mut impl Write) {
        while let Ok(line) = self.lines.recv() {
            let _ = out.write_all(&line);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let _ = writeln!(
                    out,
                    "[WARN  azureway] lines were dropped step=log count={dropped}"
                );
            }
            if self.lines.is_empty() {
                let _ = out.flush();
            }
            if line.is_empty() {
                let _ = self.flushed.try_send(());
            }
        }
    }
}

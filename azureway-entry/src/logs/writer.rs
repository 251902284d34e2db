//! The duty that writes the logs.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use flume::{Receiver, Sender};

/// The duty that writes the logs, and how many lines found no room.
#[derive(Debug)]
pub struct LogWriter {
    lines: Receiver<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    done: Sender<()>,
}

impl LogWriter {
    /// Creates the duty that empties a ring and tells `done` when it has come to an empty line.
    pub const fn new(lines: Receiver<Vec<u8>>, dropped: Arc<AtomicU64>, done: Sender<()>) -> Self {
        Self {
            lines,
            dropped,
            done,
        }
    }

    /// Writes until the ring ends. Nobody can be told of an output that takes nothing; the lines
    /// are then lost, and the daemon goes on.
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
                let _ = self.done.try_send(());
            }
        }
    }
}

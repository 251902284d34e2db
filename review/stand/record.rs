//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a case. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            start: Instant::now(),
        })
    }

    /// Adds a line with the time since the start of the case, in seconds.
    pub fn add(&self, line: impl std::fmt::Display) {
        let time = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{time:9.4} {line}");
        }
    }

    /// Adds a line to the record and to the output.
    pub fn say(&self, line: impl std::fmt::Display) {
        println!("{line}");
        self.add(line);
    }

    /// Writes out all lines.
    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}

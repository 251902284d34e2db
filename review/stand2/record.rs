//! The record of a case: what was sent, answered and run, and when.

use std::fmt::Display;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// A file to which the processes of a case append lines, each with the time of day in seconds.
#[derive(Clone)]
pub struct Record {
    path: Arc<PathBuf>,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates an empty record.
    pub fn create(path: PathBuf) -> io::Result<Self> {
        File::create(&path)?;
        Self::open(&path)
    }

    /// Opens a record to append to it.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().append(true).open(path)?;
        Ok(Self {
            path: Arc::new(path.to_owned()),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Appends a line.
    pub fn note(&self, text: impl Display) {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let time = time.unwrap_or_default().as_secs_f64() % 1000.0;
        let line = format!("{time:7.3} {text}\n");
        // One write for each line keeps the lines of several processes apart.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Returns whether some line ends with `text`.
    pub fn has(&self, text: &str) -> bool {
        let lines = std::fs::read_to_string(&*self.path).unwrap_or_default();
        lines.lines().any(|l| l.ends_with(text))
    }

    /// Returns the number of lines that contain `text`.
    pub fn count(&self, text: &str) -> usize {
        let lines = std::fs::read_to_string(&*self.path).unwrap_or_default();
        lines.lines().filter(|l| l.contains(text)).count()
    }
}

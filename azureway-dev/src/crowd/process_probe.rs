//! Memory and descriptors of another process, as the kernel reports them.

use std::fs;
use std::io;

/// A probe of a running process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessProbe {
    id: u32,
}

impl ProcessProbe {
    /// Creates the probe of the process with an ID.
    pub const fn new(id: u32) -> Self {
        Self { id }
    }

    /// Returns the peak of the resident memory, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn peak_memory(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
        kib.map(|k| k * 1024)
            .ok_or_else(|| io::Error::other("the process has no memory"))
    }

    /// Returns the number of open descriptors.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.id))?.count())
    }
}

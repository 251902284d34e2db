//! Reads the memory of this process, for the memory per held stream.

use std::fs;

use anyhow::{Context, Result};

/// The resident memory of this process at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct ResidentMemory {
    /// The resident set size, in bytes.
    pub bytes: u64,
}

/// The number of bytes in a kB of `/proc/self/status`.
const KILOBYTE: u64 = 1_024;

impl ResidentMemory {
    /// Reads the current value from `/proc/self/status`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or has no valid `VmRSS` line.
    pub fn now() -> Result<Self> {
        let status =
            fs::read_to_string("/proc/self/status").context("failed to read /proc/self/status")?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let number = line.and_then(|l| l.split_whitespace().next());
        let kilobytes: u64 = number
            .context("no VmRSS value in /proc/self/status")?
            .parse()?;
        Ok(Self {
            bytes: kilobytes * KILOBYTE,
        })
    }
}

//! The memory of this process.

use std::fs;

use anyhow::{Context, Result};

/// The resident memory of this process at some time.
#[derive(Clone, Copy, Debug)]
pub struct ResidentMemory {
    /// The bytes.
    pub bytes: u64,
}

/// The bytes of a kilobyte as the system counts.
const KILOBYTE: u64 = 1_024;

impl ResidentMemory {
    /// Reads it.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not tell.
    pub fn now() -> Result<Self> {
        let status = fs::read_to_string("/proc/self/status").context("read the status")?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let number = line.and_then(|l| l.split_whitespace().next());
        let kilobytes: u64 = number.context("no resident memory")?.parse()?;
        Ok(Self {
            bytes: kilobytes * KILOBYTE,
        })
    }
}

//! Counts how often each call ran, so that tests can check that it ran at most once.

use std::collections::BTreeMap;

/// The number of runs of each call, by its idempotency key or else its body.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    runs: BTreeMap<String, u32>,
}

impl RunCounts {
    /// Creates empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a run of a call and returns the number of its runs.
    pub fn record_run(&mut self, call: &str) -> u32 {
        let runs = self.runs.entry(call.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    /// Returns the number of runs of a call.
    pub fn runs(&self, call: &str) -> u32 {
        self.runs.get(call).copied().unwrap_or(0)
    }

    /// Returns the largest number of runs of a single call, or 0 if nothing ran.
    pub fn max_runs(&self) -> u32 {
        self.runs.values().copied().max().unwrap_or(0)
    }
}

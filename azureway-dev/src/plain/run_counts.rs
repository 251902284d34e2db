//! How often each call ran.

use std::collections::BTreeMap;

/// How often each call ran, by its idempotency key or its body.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    runs: BTreeMap<String, u32>,
}

impl RunCounts {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a run and returns how often the call has run now.
    pub fn record_run(&mut self, call: &str) -> u32 {
        let runs = self.runs.entry(call.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    /// Returns how often a call has run.
    pub fn runs(&self, call: &str) -> u32 {
        self.runs.get(call).copied().unwrap_or(0)
    }

    /// Returns the most runs of any call.
    pub fn max_runs(&self) -> u32 {
        self.runs.values().copied().max().unwrap_or(0)
    }
}

//! Collects the request logs and counts during a replay.

use std::collections::BTreeMap;

use azureway_core::prelude::RequestKind;

use super::{RequestLog, Violations};

/// The counts of a replay.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The logs of the requests, by sequence number.
    pub logs: BTreeMap<u64, RequestLog>,
    /// The violations of guarantees.
    pub violations: Violations,
    /// The number of prompt tokens of the runs.
    pub prompt_tokens: u64,
    /// The number of prompt tokens that were found in a cache.
    pub cached_tokens: u64,
    /// The number of prompt tokens that were computed although another engine had them cached.
    pub recomputed: u64,
    /// The traffic to and from other regions, in bytes.
    pub region_bytes: u64,
    /// The number of engine crashes that a request caused.
    pub poison_crashes: u64,
    /// The number of updates from engines that were lost.
    pub lost_updates: u64,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an attempt of a request.
    pub fn count_attempt(&mut self, sequence: u64) {
        if let Some(log) = self.log_mut(sequence) {
            log.attempts += 1;
        }
    }

    /// Counts a run of a request at an engine, and a violation if the request must run at most once
    /// and has run before.
    pub fn count_run(&mut self, sequence: u64) {
        if let Some(log) = self.logs.get_mut(&sequence) {
            log.runs += 1;
            let at_most_once = log.kind.request_kind() == RequestKind::AtMostOnce;
            self.violations.duplicate_runs += u64::from(at_most_once && log.runs > 1);
        }
    }

    /// Counts the requests that have neither an answer nor a refusal at the end of a replay.
    pub fn count_unanswered(&mut self) {
        let logs = self.logs.values();
        self.violations.unanswered += logs.filter(|log| !log.is_answered()).count() as u64;
    }

    /// Adds the counts of another replay.
    pub fn merge(&mut self, other: Self) {
        let first = self.logs.last_key_value().map_or(0, |(last, _)| last + 1);
        let logs = other.logs.into_iter();
        self.logs
            .extend(logs.map(|(number, log)| (first + number, log)));
        self.violations.merge(&other.violations);
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.recomputed += other.recomputed;
        self.region_bytes += other.region_bytes;
        self.poison_crashes += other.poison_crashes;
        self.lost_updates += other.lost_updates;
    }

    /// Returns the log of a request.
    pub fn log_mut(&mut self, sequence: u64) -> Option<&mut RequestLog> {
        self.logs.get_mut(&sequence)
    }
}

//! What a replay counts.

use std::collections::BTreeMap;

use azureway_core::prelude::RequestKind;

use super::{RequestLog, Violations};

/// What a replay counts.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// What became of each request, by its sequence number.
    pub logs: BTreeMap<u64, RequestLog>,
    /// The promises that were broken.
    pub violations: Violations,
    /// The prompt tokens of the tries that began.
    pub prompt_tokens: u64,
    /// The prompt tokens of these that were found in a cache.
    pub cached_tokens: u64,
    /// The prompt tokens that were computed while another engine held them.
    pub recomputed: u64,
    /// The bytes that went to and came from another region.
    pub region_bytes: u64,
    /// The engines that crashed by a request.
    pub poison_crashes: u64,
    /// The news that was lost on its way.
    pub lost_updates: u64,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a try of a request.
    pub fn count_attempt(&mut self, sequence: u64) {
        if let Some(log) = self.log_mut(sequence) {
            log.attempts += 1;
        }
    }

    /// Counts a run of a request at an engine.
    pub fn count_run(&mut self, sequence: u64) {
        if let Some(log) = self.logs.get_mut(&sequence) {
            log.runs += 1;
            let at_most_once = log.kind.request_kind() == RequestKind::AtMostOnce;
            self.violations.duplicate_runs += u64::from(at_most_once && log.runs > 1);
        }
    }

    /// Counts the requests that got neither an answer nor a refusal, at the end.
    pub fn count_unanswered(&mut self) {
        let logs = self.logs.values();
        self.violations.unanswered += logs.filter(|s| !s.is_answered()).count() as u64;
    }

    /// Adds the counts of another replay.
    pub fn merge(&mut self, other: Self) {
        let first = self.logs.last_key_value().map_or(0, |(last, _)| last + 1);
        let logs = other.logs.into_iter();
        self.logs
            .extend(logs.map(|(number, s)| (first + number, s)));
        self.violations.merge(&other.violations);
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.recomputed += other.recomputed;
        self.region_bytes += other.region_bytes;
        self.poison_crashes += other.poison_crashes;
        self.lost_updates += other.lost_updates;
    }

    /// Returns what became of a request.
    pub fn log_mut(&mut self, sequence: u64) -> Option<&mut RequestLog> {
        self.logs.get_mut(&sequence)
    }
}

//! How often a promise was broken.

use serde::Serialize;

/// How often each promise was broken. All counts should be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// The requests that may not be repeated and ran more than once.
    #[serde(rename = "doubled")]
    pub duplicate_runs: u64,
    /// The refusals that said "not run" of a request that had run.
    #[serde(rename = "untrue")]
    pub false_refusals: u64,
    /// The answers that ended well with a token missing or too many.
    #[serde(rename = "holes")]
    pub wrong_lengths: u64,
    /// The requests that got neither an answer nor a refusal.
    pub unanswered: u64,
    /// The requests that ran with another account's or version's blocks or weights.
    #[serde(rename = "mixed")]
    pub salt_mismatches: u64,
    /// The requests that were sent to an engine seconds after it said that it is leaving.
    #[serde(rename = "leaving")]
    pub late_dispatches: u64,
}

impl Violations {
    /// Adds the counts of another replay.
    pub const fn merge(&mut self, other: &Self) {
        self.duplicate_runs += other.duplicate_runs;
        self.false_refusals += other.false_refusals;
        self.wrong_lengths += other.wrong_lengths;
        self.unanswered += other.unanswered;
        self.salt_mismatches += other.salt_mismatches;
        self.late_dispatches += other.late_dispatches;
    }

    /// Returns the sum of the counts.
    pub const fn total(&self) -> u64 {
        self.duplicate_runs
            + self.false_refusals
            + self.wrong_lengths
            + self.unanswered
            + self.salt_mismatches
            + self.late_dispatches
    }
}

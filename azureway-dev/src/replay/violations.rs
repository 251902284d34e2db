//! Counts the violations of the guarantees to callers, which every replay checks.

use serde::Serialize;

/// The number of violations of each guarantee to callers. All counts should be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// The number of further runs of requests that must run at most once.
    #[serde(rename = "doubled")]
    pub duplicate_runs: u64,
    /// The number of refusals marked "not run" whose request had run.
    #[serde(rename = "untrue")]
    pub false_refusals: u64,
    /// The number of finished answers with missing or extra tokens.
    #[serde(rename = "holes")]
    pub wrong_lengths: u64,
    /// The number of requests that got neither an answer nor a refusal.
    pub unanswered: u64,
    /// The number of attempts whose cache salt, which covers account, service and weights version,
    /// did not match that of their prompt.
    #[serde(rename = "mixed")]
    pub salt_mismatches: u64,
    /// The number of attempts that were sent to an engine seconds after it reported that it is
    /// leaving.
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

    /// Returns the total number of violations.
    pub const fn total(&self) -> u64 {
        self.duplicate_runs
            + self.false_refusals
            + self.wrong_lengths
            + self.unanswered
            + self.salt_mismatches
            + self.late_dispatches
    }
}

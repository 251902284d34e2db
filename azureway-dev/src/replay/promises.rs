//! How often a promise was broken.

use serde::Serialize;

/// How often each promise was broken. All counts should be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Promises {
    /// The requests that may not be repeated and ran more than once.
    pub doubled: u64,
    /// The refusals that said "not run" of a request that had run.
    pub untrue: u64,
    /// The answers that ended well with a token missing or too many.
    pub holes: u64,
    /// The requests that got neither an answer nor a refusal.
    pub unanswered: u64,
    /// The requests that ran with another account's or version's blocks or weights.
    pub mixed: u64,
    /// The requests that were sent to an engine seconds after it said that it is leaving.
    pub leaving: u64,
}

impl Promises {
    /// Adds the counts of another replay.
    pub const fn merge(&mut self, other: &Self) {
        self.doubled += other.doubled;
        self.untrue += other.untrue;
        self.holes += other.holes;
        self.unanswered += other.unanswered;
        self.mixed += other.mixed;
        self.leaving += other.leaving;
    }

    /// Returns the sum of the counts.
    pub const fn broken(&self) -> u64 {
        self.doubled + self.untrue + self.holes + self.unanswered + self.mixed + self.leaving
    }
}

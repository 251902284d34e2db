//! The share of drafting requests, and the default deadlines of both ranks.

use std::time::Duration;

/// The operators' settings for the two ranks of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankRules {
    /// The share of the work, in percent, that drafting requests keep when urgent requests would
    /// otherwise take all of it.
    pub drafting_share: u8,
    /// The limit on the time to first token of an urgent request without a deadline of its own.
    pub urgent_timeout: Duration,
    /// The limit on the time to first token of a drafting request without a deadline of its own.
    pub drafting_timeout: Duration,
}

/// The share of drafting requests, in percent, if the document sets none.
const DEFAULT_SHARE: u8 = 10;
/// The limit on the time to first token of urgent requests if the document sets none.
const DEFAULT_URGENT: Duration = Duration::from_secs(10);
/// The limit on the time to first token of drafting requests if the document sets none.
const DEFAULT_DRAFTING: Duration = Duration::from_secs(120);

impl RankRules {
    /// Creates the default rules.
    pub const fn new() -> Self {
        Self {
            drafting_share: DEFAULT_SHARE,
            urgent_timeout: DEFAULT_URGENT,
            drafting_timeout: DEFAULT_DRAFTING,
        }
    }

    /// Returns the limit on the time to first token for requests of `rank` without a deadline of
    /// their own.
    pub const fn default_timeout(&self, rank: super::Rank) -> Duration {
        match rank {
            super::Rank::Urgent => self.urgent_timeout,
            super::Rank::Drafting => self.drafting_timeout,
        }
    }
}

impl Default for RankRules {
    fn default() -> Self {
        Self::new()
    }
}

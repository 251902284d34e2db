//! The operators' rules for the two ranks of work.

use std::time::Duration;

/// The rules for the two ranks of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankRules {
    /// The share of the work, in percent, that drafting keeps in a flood of urgent work.
    pub drafting_share: u8,
    /// The time to first token that urgent work is given where the caller sets no deadline.
    pub urgent_timeout: Duration,
    /// The time to first token that drafting is given where the caller sets no deadline.
    pub drafting_timeout: Duration,
}

/// The share that drafting keeps, in percent, where the document names none.
const DEFAULT_SHARE: u8 = 10;
/// The default time to first token of urgent work.
const DEFAULT_URGENT: Duration = Duration::from_secs(10);
/// The default time to first token of drafting.
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

    /// Returns the time to first token that work of `rank` is given by default.
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

//! The operators' rules for the two ranks of work.

use std::time::Duration;

/// The rules for the two ranks of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankRules {
    /// The share of the work, in percent, that drafting keeps in a flood of urgent work.
    pub floor: u8,
    /// The time to first token that urgent work is given where the caller sets no deadline.
    pub urgent: Duration,
    /// The time to first token that drafting is given where the caller sets no deadline.
    pub drafting: Duration,
}

/// The share that drafting keeps, in percent, where the document names none.
const DEFAULT_FLOOR: u8 = 10;
/// The default time to first token of urgent work.
const DEFAULT_URGENT: Duration = Duration::from_secs(10);
/// The default time to first token of drafting.
const DEFAULT_DRAFTING: Duration = Duration::from_secs(120);

impl RankRules {
    /// Creates the default rules.
    pub const fn new() -> Self {
        Self {
            floor: DEFAULT_FLOOR,
            urgent: DEFAULT_URGENT,
            drafting: DEFAULT_DRAFTING,
        }
    }

    /// Returns the time to first token that work of `rank` is given by default.
    pub const fn patience(&self, rank: super::Rank) -> Duration {
        match rank {
            super::Rank::Urgent => self.urgent,
            super::Rank::Drafting => self.drafting,
        }
    }
}

impl Default for RankRules {
    fn default() -> Self {
        Self::new()
    }
}

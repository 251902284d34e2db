//! A request that was answered completely.

use std::time::Duration;

use azureway_core::prelude::{AccountId, Rank, TokenCount};

/// A request that was answered completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRequest {
    /// The client account.
    pub account: AccountId,
    /// The rank.
    pub rank: Rank,
    /// The tokens of the prompt.
    pub prompt: TokenCount,
    /// The prompt tokens that the server found in its cache.
    pub cached: TokenCount,
    /// The prompt tokens that the server was expected_cached to hold when it was chosen.
    pub expected_cached: TokenCount,
    /// The tokens of the answer.
    pub output: TokenCount,
    /// The time from the first token to the end.
    pub stream_time: Duration,
}

impl FinishedRequest {
    /// Returns the mean time between two tokens of the answer, in seconds.
    pub fn gap(&self) -> Option<f64> {
        let gaps = u32::try_from(self.output.get().checked_sub(1)?).ok()?;
        (gaps > 0).then(|| self.stream_time.as_secs_f64() / f64::from(gaps))
    }
}

//! A completely answered request, as the measuring duty receives it.

use std::time::Duration;

use azureway_core::prelude::{AccountId, Rank, TokenCount};

/// The token counts and times of a request that was answered completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRequest {
    /// The client account of the request.
    pub account: AccountId,
    /// The rank of the request.
    pub rank: Rank,
    /// The number of prompt tokens.
    pub prompt: TokenCount,
    /// The number of prompt tokens that the backend server found in its cache.
    pub cached: TokenCount,
    /// The number of prompt tokens that were expected to be cached when the server was chosen.
    pub expected_cached: TokenCount,
    /// The number of answer tokens.
    pub output: TokenCount,
    /// The time from the first token to the end of the answer.
    pub stream_time: Duration,
}

impl FinishedRequest {
    /// Returns the mean time between two answer tokens in seconds, or `None` for fewer than two.
    pub fn time_per_token(&self) -> Option<f64> {
        let gaps = u32::try_from(self.output.get().checked_sub(1)?).ok()?;
        (gaps > 0).then(|| self.stream_time.as_secs_f64() / f64::from(gaps))
    }
}

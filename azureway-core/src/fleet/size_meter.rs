//! Measures the memory that a request of a pool typically occupies.

use crate::domain::TokenCount;

/// The moving average of the memory that requests occupy, in tokens.
///
/// Load figures count the requests of other entries but not their sizes. All entries serve the same
/// callers, so those requests are assumed to be as large as this entry's.
#[derive(Clone, Copy, Debug, Default)]
pub struct SizeMeter {
    mean: f64,
    requests: u32,
}

/// The window of the moving average, in requests.
const WINDOW: u32 = 64;

impl SizeMeter {
    /// Creates a meter without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the memory that a request occupies.
    pub fn record(&mut self, size: TokenCount) {
        self.requests = (self.requests + 1).min(WINDOW);
        self.mean += (size.get() as f64 - self.mean) / f64::from(self.requests);
    }

    /// Returns the typical size, or zero if no request was recorded.
    pub fn typical(&self) -> TokenCount {
        // The mean of token counts is not negative, and the cast rounds down.
        TokenCount::new(self.mean as u64)
    }
}

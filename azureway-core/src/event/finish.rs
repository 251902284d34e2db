//! A driver's report about an attempt that completed.

use crate::domain::{Attempt, TokenCount};

/// The successful end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// The attempt that completed.
    pub attempt: Attempt,
    /// The prompt tokens that the server reused from its cache.
    pub cached: TokenCount,
    /// The generated tokens.
    pub output: TokenCount,
}

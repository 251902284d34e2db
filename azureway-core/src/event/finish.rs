//! The good end of a try.

use crate::domain::{Attempt, TokenCount};

/// The good end of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// The try.
    pub attempt: Attempt,
    /// The prompt tokens that the server found in its cache.
    pub cached: TokenCount,
    /// The tokens of the answer.
    pub output: TokenCount,
}

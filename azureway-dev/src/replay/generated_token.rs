//! The result of one step of a simulated engine for one answer.

use super::Owner;

/// A token of an answer that an engine generated.
#[derive(Clone, Copy, Debug)]
pub struct GeneratedToken {
    /// The receiver of the token.
    pub owner: Owner,
    /// The number of tokens of the answer so far, including this one.
    pub position: u64,
    /// The number of prompt tokens that were found in the cache.
    pub cached: u64,
    /// Whether this is the first token of the attempt.
    pub first: bool,
    /// Whether this is the last token of the answer.
    pub done: bool,
}

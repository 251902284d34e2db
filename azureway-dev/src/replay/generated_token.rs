//! A token of an answer.

use super::Owner;

/// A token of an answer that an engine computed.
#[derive(Clone, Copy, Debug)]
pub struct GeneratedToken {
    /// Who waits for it.
    pub owner: Owner,
    /// The tokens of the answer so far, this one among them.
    pub position: u64,
    /// The prompt tokens that were found in the cache.
    pub cached: u64,
    /// Whether this is the first token of the try.
    pub first: bool,
    /// Whether this is the last token of the answer.
    pub done: bool,
}

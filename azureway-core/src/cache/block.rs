//! The unit in which backend servers cache prompts.

use super::BlockKey;
use crate::domain::TokenCount;

/// A block of a prompt, identified by the hash of all text up to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// The key of the block.
    pub key: BlockKey,
    /// The length of the block in tokens, without the blocks before it.
    pub tokens: TokenCount,
}

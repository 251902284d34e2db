//! A block of a prompt.

use super::BlockKey;
use crate::domain::TokenCount;

/// A block of a prompt: its identity and its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// The identity.
    pub key: BlockKey,
    /// The tokens of this block alone.
    pub tokens: TokenCount,
}

//! Derives the key of each cached block from the block before it.

use super::Salt;
use crate::util::TruncatedSha256;

/// The key of a cached block: a digest of the salt and of all text up to the end of the block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockKey(u128);

impl BlockKey {
    /// Creates a key from its numeric value.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// Returns the numeric value of the key.
    pub const fn get(self) -> u128 {
        self.0
    }

    /// Derives the key of the first block of a prompt.
    pub fn first(salt: Salt, text: &[u8]) -> Self {
        Self(salt.number()).then(text)
    }

    /// Derives the key of the block with `text` that follows this one.
    #[must_use]
    pub fn then(self, text: &[u8]) -> Self {
        // The key has a fixed length, so the text needs no length prefix to be unambiguous.
        let digest = TruncatedSha256::new().with_bytes(&self.0.to_le_bytes());
        Self(u128::from_le_bytes(digest.with_bytes(text).finish()))
    }
}

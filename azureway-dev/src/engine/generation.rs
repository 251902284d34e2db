//! The tokens of an answer.

use azureway_core::prelude::{BlockChain, BlockKey, TokenCount};

/// The tokens of an answer. They follow from the prompt alone, so that an answer can be
/// resumed at another engine with the same weights.
#[derive(Clone, Copy, Debug)]
pub struct Generation {
    key: u128,
    length: u64,
}

/// The tokens of an answer where the caller sets no max_tokens.
const DEFAULT_LENGTH: u64 = 16;

impl Generation {
    /// Creates the answer to a prompt.
    pub fn new(chain: &BlockChain, max_tokens: Option<u64>) -> Self {
        let last = chain.blocks().last().map_or(BlockKey::new(0), |b| b.key);
        Self {
            key: last.get(),
            length: max_tokens.unwrap_or(DEFAULT_LENGTH),
        }
    }

    /// Returns the number of tokens.
    pub const fn length(&self) -> TokenCount {
        TokenCount::new(self.length)
    }

    /// Returns the token at `position`, or `None` after the last one.
    pub fn token(&self, position: u64) -> Option<String> {
        let digits = (self.key >> (position % 12)) & 0xfff;
        (position < self.length).then(|| format!("t{position}-{digits:03x} "))
    }
}

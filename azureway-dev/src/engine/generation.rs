//! Generates the tokens of an answer from its prompt alone, so that any engine can resume it.

use azureway_core::prelude::{BlockKey, PromptBlocks, TokenCount};

/// The tokens of an answer. They depend on the prompt alone, so that another engine with the
/// same weights can resume the answer.
#[derive(Clone, Copy, Debug)]
pub struct Generation {
    key: u128,
    length: u64,
}

/// The number of tokens of an answer to a request without `max_tokens`.
const DEFAULT_LENGTH: u64 = 16;

impl Generation {
    /// Creates the answer to a prompt, of `max_tokens` tokens if that is given.
    pub fn new(prompt: &PromptBlocks, max_tokens: Option<u64>) -> Self {
        let last_key = prompt.blocks().last().map_or(BlockKey::new(0), |b| b.key);
        Self {
            key: last_key.get(),
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

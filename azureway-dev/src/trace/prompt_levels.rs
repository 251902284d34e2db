//! Builds the cache blocks of prompts from the levels that they share.

use std::collections::BTreeMap;
use std::fmt;

use azureway_core::prelude::{Block, BlockKey, PromptBlocks, Salt, TokenCount};

use super::TraceRequest;

/// The levels that the prompts of a trace share, with their lengths in tokens.
///
/// A prompt is a sequence of shared levels, the most widely shared first, and a part of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptLevels {
    tokens: BTreeMap<String, u64>,
}

/// The maximum length of a cache block, in tokens.
const MAX_BLOCK_TOKENS: u64 = 2_000;
/// The number of levels in the shared prefix that a prompt is routed by: the instructions of
/// the account and the context of the shop.
const PREFIX_LEVELS: usize = 2;

impl PromptLevels {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a level with its length in tokens.
    pub fn insert(&mut self, name: &str, tokens: u64) {
        self.tokens.insert(name.to_owned(), tokens);
    }

    /// Returns whether a level is defined.
    pub fn contains(&self, name: &str) -> bool {
        self.tokens.contains_key(name)
    }

    /// Returns the length of a level in tokens, or 0 if it is not defined.
    pub fn tokens(&self, name: &str) -> u64 {
        self.tokens.get(name).copied().unwrap_or(0)
    }

    /// Returns the blocks of a prompt. `unique` names the part that no other request shares.
    pub fn prompt_blocks(&self, request: &TraceRequest, salt: Salt, unique: &str) -> PromptBlocks {
        let mut key = BlockKey::new(salt.number());
        let mut blocks = Vec::new();
        let mut prefix_blocks = 0;
        for (depth, level) in request.levels.iter().enumerate() {
            let tokens = self.tokens(level);
            key = push_level(&mut blocks, key, level, tokens);
            if depth < PREFIX_LEVELS {
                prefix_blocks = blocks.len();
            }
        }
        push_level(&mut blocks, key, unique, request.unique_tokens);
        PromptBlocks::from_blocks(salt, blocks, prefix_blocks)
    }
}

/// Appends the blocks of a level and returns the key of the last one.
fn push_level(blocks: &mut Vec<Block>, last: BlockKey, level: &str, tokens: u64) -> BlockKey {
    let mut key = last;
    let mut rest = tokens;
    while rest > 0 {
        let length = rest.min(MAX_BLOCK_TOKENS);
        key = key.then(level.as_bytes());
        blocks.push(Block {
            key,
            tokens: TokenCount::new(length),
        });
        rest -= length;
    }
    key
}

impl fmt::Display for PromptLevels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut levels = self.tokens.iter();
        levels.try_for_each(|(name, tokens)| writeln!(f, "level {name} {tokens}"))
    }
}

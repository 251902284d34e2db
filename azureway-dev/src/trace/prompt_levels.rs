//! The shared levels of the prompts of a trace.

use std::collections::BTreeMap;
use std::fmt;

use azureway_core::prelude::{Block, BlockChain, BlockKey, Salt, TokenCount};

use super::TraceRequest;

/// The shared levels of the prompts of a trace, with their length in tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptLevels {
    tokens: BTreeMap<String, u64>,
}

/// The most tokens of a cache block.
const MAX_BLOCK_TOKENS: u64 = 2_000;
/// The levels that place a prompt: the house instructions and the shop's context.
const PREFIX_LEVELS: usize = 2;

impl PromptLevels {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a level.
    pub fn insert(&mut self, name: &str, tokens: u64) {
        self.tokens.insert(name.to_owned(), tokens);
    }

    /// Tells whether a level is known.
    pub fn contains(&self, name: &str) -> bool {
        self.tokens.contains_key(name)
    }

    /// Returns the tokens of a level, or zero if it is not known.
    pub fn tokens(&self, name: &str) -> u64 {
        self.tokens.get(name).copied().unwrap_or(0)
    }

    /// Returns the chain of a request's prompt. `own` names what no other request shares.
    pub fn chain(&self, request: &TraceRequest, salt: Salt, unique: &str) -> BlockChain {
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
        BlockChain::from_blocks(salt, blocks, prefix_blocks)
    }
}

/// Appends the pieces of a level and returns the key of the last one.
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

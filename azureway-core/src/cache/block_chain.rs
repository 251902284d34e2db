//! A prompt as a chain of blocks.

use smallvec::SmallVec;

use super::{Block, BlockKey, Salt};
use crate::domain::{PrefixKey, TokenCount};

/// The most text of a block, in bytes: about two thousand tokens.
const BLOCK_BYTES: usize = 8 * 1024;

/// The level of the nested prefix whose end places a request: the house instructions and
/// the shop's or distributor's context.
const PLACING_LEVEL: usize = 2;

/// A prompt as a chain of blocks. A block ends with its level of the nested prefix or
/// when it is full, so that prompts which share a level share all blocks up to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockChain {
    salt: Salt,
    blocks: SmallVec<[Block; 6]>,
    prefix: PrefixKey,
    shared: TokenCount,
}

impl BlockChain {
    /// Derives the chain of a prompt from its levels, the outermost first.
    pub fn new<'a>(salt: Salt, levels: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut chain = Self {
            salt,
            blocks: SmallVec::new(),
            prefix: PrefixKey::new(salt.number()),
            shared: TokenCount::ZERO,
        };
        for (depth, level) in levels.into_iter().enumerate() {
            chain.push_level(level);
            if depth < PLACING_LEVEL {
                chain.mark_prefix();
            }
        }
        chain
    }

    /// Creates a chain from blocks whose keys were derived elsewhere, such as in a trace.
    ///
    /// The first `placing` blocks decide where the chain is placed.
    pub fn from_blocks(
        salt: Salt,
        blocks: impl IntoIterator<Item = Block>,
        placing: usize,
    ) -> Self {
        let blocks: SmallVec<[Block; 6]> = blocks.into_iter().collect();
        let last = blocks.iter().take(placing).next_back();
        let prefix = PrefixKey::new(last.map_or(salt.number(), |b| b.key.get()));
        let shared = blocks.iter().take(placing).map(|b| b.tokens).sum();
        Self {
            salt,
            blocks,
            prefix,
            shared,
        }
    }

    fn push_level(&mut self, level: &[u8]) {
        for text in level.chunks(BLOCK_BYTES) {
            let key = match self.blocks.last() {
                None => BlockKey::first(self.salt, text),
                Some(last) => last.key.then(text),
            };
            self.blocks.push(Block {
                key,
                tokens: TokenCount::from_bytes(text.len() as u64),
            });
        }
    }

    fn mark_prefix(&mut self) {
        if let Some(last) = self.blocks.last() {
            self.prefix = PrefixKey::new(last.key.get());
            self.shared = self.tokens();
        }
    }

    /// Returns the salt.
    pub const fn salt(&self) -> Salt {
        self.salt
    }

    /// Returns the blocks in order.
    pub fn blocks(&self) -> &[Block] {
        &self.blocks
    }

    /// Returns the key of the shared prefix that places the prompt.
    pub const fn prefix(&self) -> PrefixKey {
        self.prefix
    }

    /// Returns the tokens of the shared prefix that places the prompt.
    pub const fn prefix_tokens(&self) -> TokenCount {
        self.shared
    }

    /// Returns the tokens of the whole prompt.
    pub fn tokens(&self) -> TokenCount {
        self.blocks.iter().map(|b| b.tokens).sum()
    }
}

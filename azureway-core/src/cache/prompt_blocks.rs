//! Splits a prompt into the blocks by which backend servers cache it.

use smallvec::SmallVec;

use super::{Block, BlockKey, Salt};
use crate::domain::{PartKey, PrefixKey, TokenCount};

/// The maximum size of a block in bytes, about two thousand tokens.
const BLOCK_BYTES: usize = 8 * 1024;

/// The number of prompt levels, from the outermost, that form the shared prefix: the
/// organisation's instructions and the context of the shop or distributor.
const SHARED_LEVELS: usize = 2;

/// A prompt as a sequence of cache blocks.
///
/// A block ends at the end of its prompt level or when it is full, so that prompts that share a
/// level share all blocks up to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptBlocks {
    salt: Salt,
    shared: bool,
    blocks: SmallVec<[Block; 6]>,
    prefix: PrefixKey,
    prefix_tokens: TokenCount,
    shared_parts: SmallVec<[PartKey; 4]>,
}

impl PromptBlocks {
    /// Derives the blocks of a prompt from its levels, the outermost first.
    pub fn new<'a>(salt: Salt, levels: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut prompt = Self {
            salt,
            shared: false,
            blocks: SmallVec::new(),
            prefix: PrefixKey::new(salt.number()),
            prefix_tokens: TokenCount::ZERO,
            shared_parts: SmallVec::new(),
        };
        for (depth, level) in levels.into_iter().enumerate() {
            prompt.push_level(level);
            prompt.shared_parts.push(PartKey::of(level));
            if depth < SHARED_LEVELS {
                prompt.extend_prefix();
            }
        }
        prompt.shared_parts.pop();
        prompt
    }

    /// Creates a prompt from blocks whose keys were derived elsewhere, such as in a trace.
    ///
    /// The first `prefix_blocks` blocks form the shared prefix.
    pub fn from_blocks(
        salt: Salt,
        blocks: impl IntoIterator<Item = Block>,
        prefix_blocks: usize,
    ) -> Self {
        let blocks: SmallVec<[Block; 6]> = blocks.into_iter().collect();
        let last = blocks.iter().take(prefix_blocks).next_back();
        let prefix = PrefixKey::new(last.map_or(salt.number(), |b| b.key.get()));
        let prefix_tokens = blocks.iter().take(prefix_blocks).map(|b| b.tokens).sum();
        Self {
            salt,
            shared: false,
            blocks,
            prefix,
            prefix_tokens,
            shared_parts: SmallVec::new(),
        }
    }

    /// Sets the keys of the parts that other requests may share.
    #[must_use]
    pub fn with_shared_parts(mut self, parts: impl IntoIterator<Item = PartKey>) -> Self {
        self.shared_parts = parts.into_iter().collect();
        self
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

    fn extend_prefix(&mut self) {
        if let Some(last) = self.blocks.last() {
            self.prefix = PrefixKey::new(last.key.get());
            self.prefix_tokens = self.tokens();
        }
    }

    /// Marks the salt as one that accounts may share, which changes with the accounts that may not.
    #[must_use]
    pub const fn with_shared_salt(mut self) -> Self {
        self.shared = true;
        self
    }

    /// Returns whether accounts may share the salt.
    pub const fn has_shared_salt(&self) -> bool {
        self.shared
    }

    /// Returns the salt that the block keys were derived with.
    pub const fn salt(&self) -> Salt {
        self.salt
    }

    /// Returns the blocks in order.
    pub fn blocks(&self) -> &[Block] {
        &self.blocks
    }

    /// Returns the keys of the parts that other requests may share: all parts but the last.
    pub fn shared_parts(&self) -> &[PartKey] {
        &self.shared_parts
    }

    /// Returns the key of the shared prefix, by which the prompt is placed.
    pub const fn prefix(&self) -> PrefixKey {
        self.prefix
    }

    /// Returns the length of the shared prefix in tokens.
    pub const fn prefix_tokens(&self) -> TokenCount {
        self.prefix_tokens
    }

    /// Returns the length of the whole prompt in tokens.
    pub fn tokens(&self) -> TokenCount {
        self.blocks.iter().map(|b| b.tokens).sum()
    }
}

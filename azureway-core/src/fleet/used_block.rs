//! A prompt block in the memory of a backend server, with the requests that use it.

use crate::cache::BlockKey;

/// A prompt block that this entry's requests at a backend server use.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsedBlock {
    pub(super) key: BlockKey,
    pub(super) requests: u32,
}

impl UsedBlock {
    /// Creates the record of a block that one request uses.
    pub(super) const fn new(key: BlockKey) -> Self {
        Self { key, requests: 1 }
    }
}

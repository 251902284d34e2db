//! A digest of several parts.

use sha2::{Digest, Sha256};

/// A digest of several parts, of which the first half is kept.
#[derive(Clone, Debug)]
pub(crate) struct TruncatedSha256(Sha256);

impl TruncatedSha256 {
    /// Creates a digest of nothing.
    pub(crate) fn new() -> Self {
        Self(Sha256::new())
    }

    /// Adds a part after its length: "ab" and "c" must differ from "a" and "bc".
    #[must_use]
    pub(crate) fn with_part(self, part: &[u8]) -> Self {
        let length = (part.len() as u64).to_le_bytes();
        self.with_bytes(&length).with_bytes(part)
    }

    /// Adds bytes whose length is known from elsewhere.
    #[must_use]
    pub(crate) fn with_bytes(mut self, bytes: &[u8]) -> Self {
        self.0.update(bytes);
        self
    }

    /// Returns the first half of the digest.
    pub(crate) fn finish(self) -> [u8; 16] {
        let digest: [u8; 32] = self.0.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        half
    }
}

//! The digest that block keys, salts, claim names and fingerprints are computed with.

use sha2::{Digest, Sha256};

/// A SHA-256 digest of several parts, truncated to its first 16 bytes.
#[derive(Clone, Debug)]
pub(crate) struct TruncatedSha256(Sha256);

impl TruncatedSha256 {
    /// Creates a digest that no part has been added to.
    pub(crate) fn new() -> Self {
        Self(Sha256::new())
    }

    /// Adds the length of a part and the part, so that "ab" and "c" differ from "a" and "bc".
    #[must_use]
    pub(crate) fn with_part(self, part: &[u8]) -> Self {
        let length = (part.len() as u64).to_le_bytes();
        self.with_bytes(&length).with_bytes(part)
    }

    /// Adds bytes without their length, which must be fixed or added separately.
    #[must_use]
    pub(crate) fn with_bytes(mut self, bytes: &[u8]) -> Self {
        self.0.update(bytes);
        self
    }

    /// Returns the first 16 bytes of the digest.
    pub(crate) fn finish(self) -> [u8; 16] {
        let digest: [u8; 32] = self.0.finalize().into();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&digest[..16]);
        truncated
    }
}

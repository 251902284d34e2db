//! What two sendings of the same request have in common.

use sha2::{Digest, Sha256};

/// A digest of a request's client account, target and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Digests a request.
    pub fn of(account: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [account.as_bytes(), target.as_bytes(), body] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest: [u8; 32] = hash.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(half)
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }

    /// Creates a fingerprint from the bytes that a peer sent.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }
}

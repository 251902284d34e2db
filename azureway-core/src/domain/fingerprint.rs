//! A digest by which a repeated request is recognized.

use std::fmt;

use crate::util::TruncatedSha256;

/// A digest of a request's client account, target and body, equal for repetitions of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(account: &str, target: &str, body: &[u8]) -> Self {
        let parts = [account.as_bytes(), target.as_bytes(), body];
        let digest = parts
            .into_iter()
            .fold(TruncatedSha256::new(), TruncatedSha256::with_part);
        Self(digest.finish())
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }

    /// Creates a fingerprint from the bytes of its digest, as received from a peer.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    /// Writes the digest in hexadecimal.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

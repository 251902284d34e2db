//! A digest by which a part of prompts is recognized in all requests that contain it.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::util::TruncatedSha256;

/// A digest of a part of a prompt, which is equal in every request that contains the part, whatever
/// its client account, its service and its other parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey([u8; 16]);

impl PartKey {
    /// Computes the key of a part from its content or from the ID that stands for its content.
    pub fn of(part: &[u8]) -> Self {
        Self(TruncatedSha256::new().with_bytes(part).finish())
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }

    /// Creates a key from the bytes of its digest, as received from a peer.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }
}

impl FromStr for PartKey {
    type Err = ParseIntError;

    /// Reads the digest in hexadecimal.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(|number| Self(number.to_be_bytes()))
    }
}

impl fmt::Display for PartKey {
    /// Writes the digest in hexadecimal.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

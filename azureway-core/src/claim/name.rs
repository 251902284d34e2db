//! Derives the name under which the platform stores a claim.

use crate::util::TruncatedSha256;
use std::fmt::{self, Write as _};

use crate::domain::{AccountId, IdempotencyKey};

/// The name of a claim: a digest of the client account and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimName([u8; 16]);

impl ClaimName {
    /// Returns the name of the claim on `key` of `account`, which is the same at every entry instance.
    pub fn of(account: &AccountId, key: &IdempotencyKey) -> Self {
        let digest = TruncatedSha256::new().with_part(account.as_str().as_bytes());
        Self(digest.with_part(key.as_str().as_bytes()).finish())
    }

    /// Returns the shard that stores the claim. A sweep lists one shard at a time.
    pub const fn shard(&self) -> u8 {
        self.0[0]
    }
}

impl fmt::Display for ClaimName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            f.write_char(char::from_digit(u32::from(byte >> 4), 16).unwrap_or('0'))?;
            f.write_char(char::from_digit(u32::from(byte & 15), 16).unwrap_or('0'))?;
        }
        Ok(())
    }
}

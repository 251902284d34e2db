//! The name of a claim.

use std::fmt::{self, Write as _};

use sha2::{Digest, Sha256};

use crate::domain::{AccountId, IdempotencyKey};

/// The name of a claim: a digest of the client account and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimName([u8; 16]);

impl ClaimName {
    /// Returns the name that every entry gives to the claim on `key` of `account`.
    pub fn of(account: &AccountId, key: &IdempotencyKey) -> Self {
        let mut hash = Sha256::new();
        for part in [account.as_str(), key.as_str()] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest: [u8; 32] = hash.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(half)
    }

    /// Returns the shard that the claim is stored in. A sweep lists one shard at a time.
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

//! What separates the cached blocks of one client account, model and weights version.

use sha2::{Digest, Sha256};

use crate::domain::{AccountId, ServiceId, WeightsVersion};

/// A digest of client account, service and weights version that starts every block chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Salt([u8; 16]);

impl Salt {
    /// Derives the salt.
    pub fn new(account: &AccountId, service: &ServiceId, weights: WeightsVersion) -> Self {
        let mut hash = Sha256::new();
        // Each part is preceded by its length: "ab" + "c" and "a" + "bc" must differ.
        for part in [account.as_str(), service.as_str()] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(weights.get().to_le_bytes());
        let digest: [u8; 32] = hash.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(half)
    }

    /// Creates a salt from its number.
    pub const fn from_number(number: u128) -> Self {
        Self(number.to_le_bytes())
    }

    /// Returns the salt as a number.
    pub const fn number(self) -> u128 {
        u128::from_le_bytes(self.0)
    }
}

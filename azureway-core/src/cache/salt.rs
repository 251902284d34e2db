//! The salt that isolates the cached blocks of an account, service and weights version.

use crate::domain::{AccountId, ServiceId, WeightsVersion};
use crate::util::TruncatedSha256;

/// A digest of client account, service and weights version, from which the keys of all blocks are
/// derived. It keeps accounts and weights versions from sharing cached blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Salt([u8; 16]);

impl Salt {
    /// Derives the salt of a client account, service and weights version.
    pub fn new(account: &AccountId, service: &ServiceId, weights: WeightsVersion) -> Self {
        let digest = TruncatedSha256::new()
            .with_part(account.as_str().as_bytes())
            .with_part(service.as_str().as_bytes())
            .with_bytes(&weights.get().to_le_bytes());
        Self(digest.finish())
    }

    /// Derives the salt that all accounts but the `isolated` ones share at a service, with any weights.
    ///
    /// Servers keep what an account has left under the salt of a time when it was not isolated, so each
    /// set of isolated accounts has a salt of its own.
    pub fn shared<'a>(service: &ServiceId, isolated: impl Iterator<Item = &'a AccountId>) -> Self {
        let digest = TruncatedSha256::new()
            .with_part(&[])
            .with_part(service.as_str().as_bytes())
            .with_bytes(&WeightsVersion::ZERO.get().to_le_bytes());
        let digest = isolated.fold(digest, |d, id| d.with_part(id.as_str().as_bytes()));
        Self(digest.finish())
    }

    /// Creates a salt from its numeric value.
    pub const fn from_number(number: u128) -> Self {
        Self(number.to_le_bytes())
    }

    /// Returns the numeric value of the salt.
    pub const fn number(self) -> u128 {
        u128::from_le_bytes(self.0)
    }
}

//! Rendezvous hashing of prefixes to servers.

use crate::domain::{PrefixKey, ServerId};

/// Rendezvous hashing: a prefix prefers the servers with the highest digest of both.
///
/// Every entry instance computes the same order without history or communication, and adding or
/// removing a server moves only the prefixes that it gains or loses.
#[derive(Clone, Copy, Debug)]
pub struct Rendezvous {
    prefix: PrefixKey,
}

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

impl Rendezvous {
    /// Creates the preference order of `prefix`.
    pub const fn new(prefix: PrefixKey) -> Self {
        Self { prefix }
    }

    /// Returns the weight of `server` for the prefix; the highest is preferred.
    pub fn weight(&self, server: &ServerId) -> u64 {
        let prefix = self.prefix.get().to_le_bytes();
        let bytes = server.as_str().bytes().chain(prefix);
        let hash = bytes.fold(FNV_BASIS, |hash, b| {
            (hash ^ u64::from(b)).wrapping_mul(FNV_PRIME)
        });
        mix(hash)
    }

    /// Returns the weight of `server` as a fraction from 0 to 1.
    pub fn fraction(&self, server: &ServerId) -> f64 {
        self.weight(server) as f64 / u64::MAX as f64
    }
}

/// Mixes the last input bytes into all bits, which FNV-1a alone does not.
pub(super) const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

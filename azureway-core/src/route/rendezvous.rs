//! An order of servers that every entry computes alike.

use crate::domain::{PrefixKey, ServerId};

/// The order in which a prefix prefers servers: by a digest of both, highest first.
///
/// Each entry computes the same order without history or peers, and a server that comes
/// or goes moves only the prefixes that it gains or loses.
#[derive(Clone, Copy, Debug)]
pub struct Rendezvous {
    prefix: PrefixKey,
}

/// The offset basis of the 64-bit FNV-1a digest.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a digest.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

impl Rendezvous {
    /// Creates the order for `prefix`.
    pub const fn new(prefix: PrefixKey) -> Self {
        Self { prefix }
    }

    /// Returns how strongly the prefix prefers `server`.
    pub fn weight(&self, server: &ServerId) -> u64 {
        let prefix = self.prefix.get().to_le_bytes();
        let bytes = server.as_str().bytes().chain(prefix);
        let sum = bytes.fold(FNV_BASIS, |sum, b| {
            (sum ^ u64::from(b)).wrapping_mul(FNV_PRIME)
        });
        mix(sum)
    }
}

/// Spreads the last input bytes over all bits, which FNV-1a alone does not.
pub(super) const fn mix(sum: u64) -> u64 {
    let sum = (sum ^ (sum >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let sum = (sum ^ (sum >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    sum ^ (sum >> 33)
}

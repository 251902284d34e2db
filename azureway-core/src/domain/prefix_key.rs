//! The key of a prompt prefix, by which equal prefixes get the same placement.

use std::fmt;

/// The key of a prompt prefix, salted in the same way as the blocks of the prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixKey(u128);

impl PrefixKey {
    /// Creates a key from its numeric value.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// Returns the numeric value of the key.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for PrefixKey {
    /// Writes the upper half of the key, which is enough to distinguish prefixes in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0 >> 64)
    }
}

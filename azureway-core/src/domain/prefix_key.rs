//! The identity of a prompt prefix, by which equal prefixes are placed alike.

use std::fmt;

/// The identity of a prompt prefix, salted like the blocks below it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixKey(u128);

impl PrefixKey {
    /// Creates a key from its number.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for PrefixKey {
    /// Writes the upper half of the key, which tells prefixes apart in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0 >> 64)
    }
}

//! Token counts, in which the cost of requests and the size of prefixes are measured.

use std::ops::{Add, AddAssign};

number_type! {
    /// A number of tokens, as the measure of an amount of text.
    TokenCount
}

/// The mean number of bytes of prompt text per token.
const BYTES_PER_TOKEN: u64 = 4;

impl TokenCount {
    /// Returns an estimate of the tokens in `bytes` bytes of text, rounded up.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes.div_ceil(BYTES_PER_TOKEN))
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for TokenCount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for TokenCount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl std::iter::Sum for TokenCount {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::ZERO, Add::add)
    }
}

//! Token rates, in which account limits and prefill speeds are measured.

use std::time::Duration;

use super::TokenCount;

number_type! {
    /// A rate in tokens per second.
    TokenRate
}

/// The microseconds in a second.
const SECOND_MICROS: u128 = 1_000_000;

impl TokenRate {
    /// Returns the time that `count` tokens take at this rate, or [`Duration::MAX`] at a rate of
    /// zero.
    pub fn time_for(self, count: TokenCount) -> Duration {
        let micros = (u128::from(count.get()) * SECOND_MICROS).checked_div(u128::from(self.0));
        micros.map_or(Duration::MAX, |m| {
            Duration::from_micros(u64::try_from(m).unwrap_or(u64::MAX))
        })
    }
}

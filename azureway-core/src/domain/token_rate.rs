//! A speed in tokens a second.

use std::time::Duration;

use super::TokenCount;

number_type! {
    /// A speed in tokens a second.
    TokenRate
}

/// Microseconds in a second.
const MICROS: u128 = 1_000_000;

impl TokenRate {
    /// Returns the time that `count` tokens take, or [`Duration::MAX`] at a rate of zero.
    pub fn time_for(self, count: TokenCount) -> Duration {
        let micros = (u128::from(count.get()) * MICROS).checked_div(u128::from(self.0));
        micros.map_or(Duration::MAX, |m| {
            Duration::from_micros(u64::try_from(m).unwrap_or(u64::MAX))
        })
    }
}

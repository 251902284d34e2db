//! The rate, the timeouts and the load mode that load orders are planned with.

use std::time::Duration;

use super::LoadMode;

/// The limits of load orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderConfig {
    /// The rate of loads that the weight store can serve, per second over all pools.
    pub store_rate: u32,
    /// The time after which a load no longer counts as pending if its end is not reported.
    pub load_timeout: Duration,
    /// The time after which a load frees its pool's load slot if its end is not reported.
    pub slot_timeout: Duration,
    /// The way a server treats its running requests when it loads weights.
    pub mode: LoadMode,
}

/// The default rate of loads per second.
const DEFAULT_STORE_RATE: u32 = 4;
/// The default time after which a load no longer counts as pending and frees its slot.
const DEFAULT_LOAD_TIMEOUT: Duration = Duration::from_secs(10);

impl OrderConfig {
    /// Creates the default limits.
    pub const fn new() -> Self {
        Self {
            store_rate: DEFAULT_STORE_RATE,
            load_timeout: DEFAULT_LOAD_TIMEOUT,
            slot_timeout: DEFAULT_LOAD_TIMEOUT,
            mode: LoadMode::Drain,
        }
    }

    /// Sets the rate of loads that the weight store can serve, per second.
    #[must_use]
    pub const fn with_store_rate(mut self, store_rate: u32) -> Self {
        self.store_rate = store_rate;
        self
    }

    /// Sets the time after which a load frees its load slot if its end is not reported.
    #[must_use]
    pub const fn with_slot_timeout(mut self, slot_timeout: Duration) -> Self {
        self.slot_timeout = slot_timeout;
        self
    }

    /// Sets how a server treats its running requests when it loads weights.
    #[must_use]
    pub const fn with_mode(mut self, mode: LoadMode) -> Self {
        self.mode = mode;
        self
    }
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self::new()
    }
}

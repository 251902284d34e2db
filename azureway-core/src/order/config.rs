//! The bounds of orders.

use std::time::Duration;

use super::LoadMode;

/// The bounds of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderConfig {
    /// The loads that the weight store takes in a second, over all pools.
    pub store_rate: u32,
    /// How long a load counts as running if nothing is heard of its end.
    pub load_timeout: Duration,
    /// How long a load holds up the next one if nothing is heard of its end.
    pub slot_timeout: Duration,
    /// What becomes of the runs of a server that loads.
    pub mode: LoadMode,
}

/// The default rate of loads a second.
const DEFAULT_STORE: u32 = 4;
/// The default limit of a load.
const DEFAULT_LIMIT: Duration = Duration::from_secs(10);

impl OrderConfig {
    /// Creates the default bounds.
    pub const fn new() -> Self {
        Self {
            store_rate: DEFAULT_STORE,
            load_timeout: DEFAULT_LIMIT,
            slot_timeout: DEFAULT_LIMIT,
            mode: LoadMode::Drain,
        }
    }

    /// Sets the loads that the weight store takes in a second.
    #[must_use]
    pub const fn with_store_rate(mut self, store_rate: u32) -> Self {
        self.store_rate = store_rate;
        self
    }

    /// Sets how long a load holds up the next one if nothing is heard of its end.
    #[must_use]
    pub const fn with_slot_timeout(mut self, slot_timeout: Duration) -> Self {
        self.slot_timeout = slot_timeout;
        self
    }

    /// Sets what becomes of the runs of a server that loads.
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

//! The bounds of orders.

use std::time::Duration;

use super::LoadMode;

/// The bounds of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderConfig {
    /// The loads that the weight store takes in a second, over all pools.
    pub store: u32,
    /// How long a load counts as running if nothing is heard of its end.
    pub limit: Duration,
    /// How long a load holds up the next one if nothing is heard of its end.
    pub busy: Duration,
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
            store: DEFAULT_STORE,
            limit: DEFAULT_LIMIT,
            busy: DEFAULT_LIMIT,
            mode: LoadMode::Drain,
        }
    }

    /// Sets the loads that the weight store takes in a second.
    #[must_use]
    pub const fn with_store(mut self, store: u32) -> Self {
        self.store = store;
        self
    }

    /// Sets how long a load holds up the next one if nothing is heard of its end.
    #[must_use]
    pub const fn with_busy(mut self, busy: Duration) -> Self {
        self.busy = busy;
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

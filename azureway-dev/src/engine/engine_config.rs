//! The size and speed of an engine.

use std::time::Duration;

use azureway_core::prelude::{TokenRate, WeightsVersion};

/// The size and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The weights version that it has loaded.
    pub weights: WeightsVersion,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The speed at which it computes prompt tokens.
    pub prefill_rate: TokenRate,
    /// The time between two tokens of an answer.
    pub token_interval: Duration,
    /// The time by which its reports and cache events are late.
    pub report_delay: Duration,
    /// The blocks that its cache holds.
    pub cache_blocks: usize,
    /// The time that weights take to load.
    pub load_time: Duration,
    /// Whether it refuses an order with an old fencing number.
    pub fenced: bool,
}

impl EngineConfig {
    /// Creates an engine of 8 slots, 8,000 prompt tokens a second, 20 ms a token and 64 blocks
    /// whose reports are 20 ms late.
    pub const fn new() -> Self {
        Self {
            weights: WeightsVersion::new(1),
            slots: 8,
            prefill_rate: TokenRate::new(8_000),
            token_interval: Duration::from_millis(20),
            report_delay: Duration::from_millis(20),
            cache_blocks: 64,
            load_time: Duration::from_millis(600),
            fenced: false,
        }
    }

    /// Sets the requests that it runs at once.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time that weights take to load.
    #[must_use]
    pub const fn with_load_time(mut self, time: Duration) -> Self {
        self.load_time = time;
        self
    }

    /// Lets it refuse orders with an old fencing number.
    #[must_use]
    pub const fn with_fencing(mut self) -> Self {
        self.fenced = true;
        self
    }

    /// Sets the time between two tokens.
    #[must_use]
    pub const fn with_token_interval(mut self, interval: Duration) -> Self {
        self.token_interval = interval;
        self
    }
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self::new()
    }
}

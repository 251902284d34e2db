//! The settings of the engine that serves HTTP.

use std::time::Duration;

use azureway_core::prelude::{TokenRate, WeightsVersion};

/// The size and speed of a simulated engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The weights version that is loaded at the start.
    pub weights: WeightsVersion,
    /// The number of requests that run concurrently.
    pub slots: u32,
    /// The rate at which prompt tokens are computed.
    pub prefill_rate: TokenRate,
    /// The time between two tokens of an answer.
    pub token_interval: Duration,
    /// The delay of load reports and cache events.
    pub report_delay: Duration,
    /// The capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// The time that it takes to load weights.
    pub load_time: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub fenced: bool,
}

impl EngineConfig {
    /// Creates the configuration of an engine with 8 slots, 8,000 prompt tokens per second, 20 ms
    /// per generated token, 64 blocks, 20 ms of report delay and 600 ms of load time.
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

    /// Sets the number of requests that run concurrently.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time that it takes to load weights.
    #[must_use]
    pub const fn with_load_time(mut self, time: Duration) -> Self {
        self.load_time = time;
        self
    }

    /// Refuses orders with an outdated fencing number.
    #[must_use]
    pub const fn with_fencing(mut self) -> Self {
        self.fenced = true;
        self
    }

    /// Sets the time between two tokens of an answer.
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

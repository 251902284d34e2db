//! Learns how fast a backend server computes from the answers of its own requests.

use std::time::Duration;

use crate::domain::{Timestamp, TokenCount, TokenRate};

/// The rate at which one backend server computes prompt tokens.
///
/// Until answers show it, the configured rate counts.
#[derive(Clone, Copy, Debug)]
pub struct SpeedMeter {
    configured: TokenRate,
}

impl SpeedMeter {
    /// Creates the meter of a server whose configuration states `configured`.
    pub const fn new(configured: TokenRate) -> Self {
        Self { configured }
    }

    /// Sets the configured rate.
    pub const fn set_configured(&mut self, configured: TokenRate) {
        self.configured = configured;
    }

    /// Records that the first token of a request came after `time`, for which the server computed
    /// `computed` prompt tokens.
    pub const fn observe_start(&mut self, computed: TokenCount, time: Duration, now: Timestamp) {
        let _ = (computed, time, now);
    }

    /// Returns the rate at which the server is expected to compute prompt tokens.
    pub const fn prefill(&self) -> TokenRate {
        self.configured
    }
}

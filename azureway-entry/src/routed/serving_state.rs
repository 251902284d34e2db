//! What every caller's connection reaches.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use azureway_core::prelude::CallerLimits;

use super::InFlight;

/// What every caller's connection reads: the limits in force and whether the daemon leaves.
#[derive(Clone, Debug, Default)]
pub struct ServingState {
    limits: Arc<RwLock<CallerLimits>>,
    draining: Arc<AtomicBool>,
    /// The requests that are being answered.
    pub in_flight: InFlight,
}

impl ServingState {
    /// Creates a serving with the default limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> CallerLimits {
        *self.limits.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the limits of a configuration.
    pub fn set_limits(&self, limits: CallerLimits) {
        *self.limits.write().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    /// Lets connections close after the answer that they write next.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether connections close after the answer that they write next.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

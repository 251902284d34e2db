//! The state that connections of routed callers share with the site duty and the shutdown.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use azureway_core::prelude::CallerLimits;

use super::InFlight;
use crate::exchange::BodyMemory;

/// The state that all callers' connections share: the limits in force, whether the daemon is
/// draining, and the number of requests in flight.
#[derive(Clone, Debug, Default)]
pub struct ServingState {
    limits: Arc<RwLock<CallerLimits>>,
    draining: Arc<AtomicBool>,
    /// The number of requests in flight.
    pub in_flight: InFlight,
    /// The bound on the memory of the bodies of requests.
    pub bodies: BodyMemory,
}

impl ServingState {
    /// Creates a state with the default limits that is not draining.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> CallerLimits {
        *self.limits.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the limits in force.
    pub fn set_limits(&self, limits: CallerLimits) {
        *self.limits.write().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    /// Makes each connection close after its next answer.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether connections close after their next answer.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

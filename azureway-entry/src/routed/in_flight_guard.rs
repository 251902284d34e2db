//! Removal of a request from the in-flight count, however its connection ends.

use super::InFlight;

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlight,
}

impl InFlightGuard {
    /// Creates the guard of a request that has been counted.
    pub const fn new(in_flight: InFlight) -> Self {
        Self { in_flight }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.end();
    }
}

//! A request that is being answered.

use super::InFlight;

/// Counts a request as being answered for as long as it lives.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlight,
}

impl InFlightGuard {
    /// Creates the guard of a request that was counted.
    pub const fn new(in_flight: InFlight) -> Self {
        Self { in_flight }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.end();
    }
}

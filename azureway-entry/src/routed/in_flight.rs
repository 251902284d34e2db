//! Waiting for the requests in flight at shutdown.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use super::InFlightGuard;

/// The number of requests in flight, which a shutdown waits for.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    count: Arc<(Mutex<usize>, Condvar)>,
}

impl InFlight {
    /// Creates a count of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request until the guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.update(|count| count + 1);
        InFlightGuard::new(self.clone())
    }

    /// Subtracts a request from the count.
    pub fn end(&self) {
        self.update(|count| count.saturating_sub(1));
        self.count.1.notify_all();
    }

    /// Waits until no request is in flight, for at most `limit`. Returns how many are left.
    pub fn wait(&self, limit: Duration) -> usize {
        let count = self.count.0.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.count.1.wait_timeout_while(count, limit, |c| *c > 0);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }

    fn update(&self, update: impl FnOnce(usize) -> usize) {
        // The count is valid even if a thread panicked while it held the lock.
        let mut count = self.count.0.lock().unwrap_or_else(PoisonError::into_inner);
        *count = update(*count);
    }
}

//! The requests that are being answered.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use super::InFlightGuard;

/// The number of requests that are being answered, which a shutdown waits for.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    count: Arc<(Mutex<usize>, Condvar)>,
}

impl InFlight {
    /// Creates a count of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request until the guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.change(|count| count + 1);
        InFlightGuard::new(self.clone())
    }

    /// Takes a request out of the count.
    pub fn end(&self) {
        self.change(|count| count.saturating_sub(1));
        self.count.1.notify_all();
    }

    /// Waits until nothing is being answered, for `limit` at most. Returns what is left.
    pub fn wait(&self, limit: Duration) -> usize {
        let count = self.count.0.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.count.1.wait_timeout_while(count, limit, |c| *c > 0);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }

    fn change(&self, change: impl FnOnce(usize) -> usize) {
        // A number is whole whatever its last holder did.
        let mut count = self.count.0.lock().unwrap_or_else(PoisonError::into_inner);
        *count = change(*count);
    }
}

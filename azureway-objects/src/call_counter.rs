//! Counts the calls to the platform, which the entry daemon reports as a metric.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter of the calls made to the platform. A watch counts as one call, however long it waits.
/// Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct CallCounter {
    calls: Arc<AtomicU64>,
}

impl CallCounter {
    /// Creates a counter at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call.
    pub fn add(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls made so far.
    pub fn get(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

//! Counting calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The calls made to the platform; a waiting watch counts as one. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct CallCounter {
    calls: Arc<AtomicU64>,
}

impl CallCounter {
    /// Creates a count of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call.
    pub fn add(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the calls made so far.
    pub fn get(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

//! Counts the calls to the platform, which the entry daemon reports as a metric.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use azureway_core::prelude::StoreEra;

use super::CallKind;

/// A counter of the calls made to the platform and of its restores. A watch counts as one call,
/// however long it waits. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct CallCounter {
    /// The number of calls of each kind.
    calls: Arc<[AtomicU64; CallKind::ALL.len()]>,
    restores: Arc<AtomicU64>,
    /// One more than the latest era, or zero before the first answer that reports one.
    latest: Arc<AtomicU64>,
}

impl CallCounter {
    /// Creates a counter at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call.
    pub fn add(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls of a kind made so far.
    pub fn get(&self, kind: CallKind) -> u64 {
        self.calls[kind as usize].load(Ordering::Relaxed)
    }

    /// Records the era of an answer, and counts the restores before it.
    pub fn record_era(&self, era: StoreEra) {
        let next = era.next().get();
        let before = self.latest.fetch_max(next, Ordering::Relaxed);
        if before > 0 {
            let restores = next.saturating_sub(before);
            self.restores.fetch_add(restores, Ordering::Relaxed);
        }
    }

    /// Returns the number of restores since the first answer.
    pub fn restores(&self) -> u64 {
        self.restores.load(Ordering::Relaxed)
    }
}

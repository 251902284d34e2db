//! The generator of request identities.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use azureway_core::prelude::RequestId;

/// Generates the identities of the requests of this process. Clones share one sequence.
#[derive(Clone, Debug)]
pub struct RequestIds {
    entry: u64,
    sequence: Arc<AtomicU64>,
}

impl RequestIds {
    /// Creates the generator of the process with the number `entry`.
    pub fn new(entry: u64) -> Self {
        Self {
            entry,
            sequence: Arc::default(),
        }
    }

    /// Returns the next identity.
    pub fn next(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId::new(self.entry, sequence)
    }
}

//! The identities of this process's requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use azureway_core::prelude::RequestId;

/// Gives each request of this process an identity. Clones draw from one sequence.
#[derive(Clone, Debug)]
pub struct RequestIds {
    entry: u64,
    sequence: Arc<AtomicU64>,
}

impl RequestIds {
    /// Creates the sequence of the process with the mark `entry`.
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

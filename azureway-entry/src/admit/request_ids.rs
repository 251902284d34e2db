//! Request IDs that differ between requests and between processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use azureway_core::prelude::RequestId;

/// Generates the IDs of the requests of this process. Clones share one sequence.
#[derive(Clone, Debug)]
pub struct RequestIds {
    process_id: u64,
    sequence: Arc<AtomicU64>,
}

impl RequestIds {
    /// Creates the generator of a process. `process_id` must differ between processes.
    pub fn new(process_id: u64) -> Self {
        Self {
            process_id,
            sequence: Arc::default(),
        }
    }

    /// Returns the next ID.
    pub fn next(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId::new(self.process_id, sequence)
    }
}

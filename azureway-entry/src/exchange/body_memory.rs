//! The bound on the memory of all bodies that are held, of answers or of requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::BodyReservation;

/// Bounds the memory of the bodies that an entry instance holds: those of answers while attempts read
/// them, or those of requests until they are answered. Clones share the bound.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory {
    used: Arc<AtomicUsize>,
}

/// The largest total size of the bodies that are held, apart from the part of each that needs
/// no reservation, in bytes. It is also the largest size of a single one. The smallest instances
/// have 88 MB of memory, of which a process needs about 20 MB otherwise.
const MAX_TOTAL: usize = 16 * 1024 * 1024;

impl BodyMemory {
    /// Creates an unused bound.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the reservation of a body of which nothing has been read.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation::new(self.clone())
    }

    /// Adds `bytes` to the memory in use. Returns `false` if the bound would be exceeded.
    pub(super) fn add(&self, bytes: usize) -> bool {
        let added = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(bytes).filter(|total| *total <= MAX_TOTAL)
            });
        added.is_ok()
    }

    /// Removes `bytes` from the memory in use.
    pub(super) fn remove(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

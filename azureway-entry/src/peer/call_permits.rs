//! The bound on announcements that peers have not answered yet.

use std::collections::BTreeMap;
use std::sync::Arc;

use azureway_core::prelude::InstanceId;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bounds the number of announcements to each peer that are under way at once.
#[derive(Debug, Default)]
pub struct CallPermits {
    /// The permits of each peer, and whether the last request for one was denied.
    peers: BTreeMap<InstanceId, (Arc<Semaphore>, bool)>,
}

/// The largest number of unanswered announcements to a peer. An answer normally takes milliseconds.
const MAX_CALLS: usize = 4;

impl CallPermits {
    /// Creates an empty set of permits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a permit for a call to `peer`, or `None` if too many calls to it are unanswered. Logs
    /// when permits begin to be denied and when they are granted again.
    pub fn acquire(&mut self, peer: &InstanceId) -> Option<OwnedSemaphorePermit> {
        let unused = || (Arc::new(Semaphore::new(MAX_CALLS)), false);
        let (permits, denied) = self.peers.entry(peer.clone()).or_insert_with(unused);
        // The semaphore is never closed, so an error means that no permit is left.
        let permit = Arc::clone(permits).try_acquire_owned().ok();
        if permit.is_none() != *denied {
            *denied = permit.is_none();
            log::info!(step = "announce", peer:% = peer, skipped = *denied; "announcements to a peer stop or go on");
        }
        permit
    }
}

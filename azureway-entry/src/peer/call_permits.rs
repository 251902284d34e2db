//! The bound on announcements that peers have not answered yet.

use std::collections::BTreeMap;
use std::sync::Arc;

use azureway_core::prelude::InstanceId;

use super::CallPermit;

/// Bounds the number of announcements to each peer that are under way at once.
#[derive(Debug, Default)]
pub struct CallPermits {
    /// The shared state of each peer's permits, and whether the last request for one was denied.
    peers: BTreeMap<InstanceId, (Arc<()>, bool)>,
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
    pub fn acquire(&mut self, peer: &InstanceId) -> Option<CallPermit> {
        let (shared, denied) = self.peers.entry(peer.clone()).or_default();
        // One reference is the one in the table.
        let calls = Arc::strong_count(shared) - 1;
        let deny = calls >= MAX_CALLS;
        if deny != *denied {
            *denied = deny;
            log::info!(step = "announce", peer:% = peer, unanswered = calls, skipped = deny; "announcements to a peer stop or go on");
        }
        (!deny).then(|| CallPermit::new(Arc::clone(shared)))
    }
}

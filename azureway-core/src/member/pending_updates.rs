//! The queue from which heartbeats take the updates that they carry.

use std::collections::VecDeque;

use super::GossipUpdate;

/// The queue of updates to pass on, each a bounded number of times.
///
/// The updates that were passed on least go first, so that a new one reaches the whole group in
/// a number of rounds that grows with the logarithm of its size.
#[derive(Clone, Debug, Default)]
pub struct PendingUpdates {
    items: VecDeque<(u32, GossipUpdate)>,
}

/// The capacity of the queue; beyond it, the update passed on most often is dropped.
const ITEMS_MAX: usize = 1_024;
/// The number of times that an update is passed on, per unit of the logarithm of the group's size.
const RETRANSMIT_FACTOR: u32 = 3;

impl PendingUpdates {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds an update and drops older ones about the same subject.
    pub fn push(&mut self, update: GossipUpdate) {
        self.items.retain(|(_, old)| !old.same_subject(&update));
        self.items.push_front((0, update));
        self.items.truncate(ITEMS_MAX);
    }

    /// Returns up to `count` updates for one heartbeat in a group of `size` instances.
    pub fn take(&mut self, count: usize, size: usize) -> Vec<GossipUpdate> {
        let limit = RETRANSMIT_FACTOR * (usize::BITS - size.leading_zeros()).max(1);
        let mut taken = Vec::new();
        for _ in 0..count.min(self.items.len()) {
            let Some((sent, update)) = self.items.pop_front() else {
                break;
            };
            taken.push((sent + 1, update));
        }
        let result = taken.iter().map(|(_, n)| n.clone()).collect();
        self.items
            .extend(taken.into_iter().filter(|(sent, _)| *sent < limit));
        self.items.make_contiguous().sort_by_key(|(sent, _)| *sent);
        result
    }
}

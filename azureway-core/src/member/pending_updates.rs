//! The news that still have to be passed on.

use std::collections::VecDeque;

use super::GossipUpdate;

/// The news that still have to be passed on, each a bounded number of times.
///
/// The freshest go first, so that what a group has just learned reaches all of it in a number
/// of rounds that grows with the logarithm of its size.
#[derive(Clone, Debug, Default)]
pub struct PendingUpdates {
    items: VecDeque<(u32, GossipUpdate)>,
}

/// The news that are kept at most; at more, the one passed on most often is dropped.
const ITEMS_MAX: usize = 1_024;
/// How often a piece of news is passed on, in multiples of the logarithm of the group.
const SPREAD_FACTOR: u32 = 3;

impl PendingUpdates {
    /// Creates an empty board.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether nothing has to be passed on.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds news, and drops older news of the same subject.
    pub fn push(&mut self, news: GossipUpdate) {
        self.items.retain(|(_, old)| !old.is_about(&news));
        self.items.push_front((0, news));
        self.items.truncate(ITEMS_MAX);
    }

    /// Takes up to `count` pieces of news for one heartbeat in a group of `size`.
    pub fn take(&mut self, count: usize, size: usize) -> Vec<GossipUpdate> {
        let spread = SPREAD_FACTOR * (usize::BITS - size.leading_zeros()).max(1);
        let mut taken = Vec::new();
        for _ in 0..count.min(self.items.len()) {
            let Some((sent, news)) = self.items.pop_front() else {
                break;
            };
            taken.push((sent + 1, news));
        }
        let result = taken.iter().map(|(_, n)| n.clone()).collect();
        self.items
            .extend(taken.into_iter().filter(|(sent, _)| *sent < spread));
        self.items.make_contiguous().sort_by_key(|(sent, _)| *sent);
        result
    }
}

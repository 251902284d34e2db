//! Selection of the entries that watch the platform, or do another task, for their zone.

use std::cmp::Reverse;

use smallvec::SmallVec;

use crate::domain::{InstanceId, PrefixKey, ServerId};
use crate::route::Rendezvous;

/// Selects the few entries of a zone that carry out a task for it, such as watching the platform.
///
/// Every entry computes the same selection from the same live entries. If their views differ, more
/// or fewer entries carry out the task for a while; no guarantee depends on their number.
#[derive(Clone, Copy, Debug)]
pub struct EntrySelector {
    count: usize,
    rendezvous: Rendezvous,
}

impl EntrySelector {
    /// Creates a selector of `count` entries. Tasks with different seeds are distributed over
    /// different entries.
    pub const fn new(count: usize, seed: u128) -> Self {
        Self {
            count,
            rendezvous: Rendezvous::new(PrefixKey::new(seed)),
        }
    }

    /// Returns whether `me` is selected among `live`, the live entries of its zone, which may
    /// include it.
    pub fn includes(&self, me: &InstanceId, live: &[InstanceId]) -> bool {
        let own_weight = self.weight(me);
        let others = live.iter().filter(|id| *id != me);
        let higher = others.filter(|id| (self.weight(id), *id) > (own_weight, me));
        higher.count() < self.count
    }

    /// Returns the selected ones of `live` and `me`, the most preferred first.
    pub fn select<'a>(
        &self,
        me: &'a InstanceId,
        live: &'a [InstanceId],
    ) -> SmallVec<[&'a InstanceId; 4]> {
        let mut all: Vec<_> = live.iter().filter(|id| *id != me).collect();
        all.push(me);
        all.sort_by_cached_key(|id| Reverse((self.weight(id), *id)));
        all.into_iter().take(self.count).collect()
    }

    fn weight(&self, id: &InstanceId) -> u64 {
        self.rendezvous.weight(&ServerId::new(id.as_str()))
    }
}

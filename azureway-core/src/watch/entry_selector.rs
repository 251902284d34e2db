//! Which entries of a zone do what only a few of them need to do.

use crate::domain::{InstanceId, PrefixKey, ServerId};
use crate::route::Rendezvous;

/// Which entries of a zone do what only a few of them need to do, such as watch the platform.
///
/// Every entry makes the same choice from the same live entries. Where two disagree on who is
/// alive, more or fewer do the work for a while, and no promise depends on the number.
#[derive(Clone, Copy, Debug)]
pub struct EntrySelector {
    count: usize,
    order: Rendezvous,
}

impl EntrySelector {
    /// Creates the choice of `count` entries. Choices of different `seed` spread over entries.
    pub const fn new(count: usize, seed: u128) -> Self {
        Self {
            count,
            order: Rendezvous::new(PrefixKey::new(seed)),
        }
    }

    /// Tells whether `me` is chosen among the live entries of its zone, which may name it.
    pub fn includes(&self, me: &InstanceId, live: &[InstanceId]) -> bool {
        let mine = self.weight(me);
        let others = live.iter().filter(|id| *id != me);
        let ahead = others.filter(|id| (self.weight(id), *id) > (mine, me));
        ahead.count() < self.count
    }

    fn weight(&self, id: &InstanceId) -> u64 {
        self.order.weight(&ServerId::new(id.as_str()))
    }
}

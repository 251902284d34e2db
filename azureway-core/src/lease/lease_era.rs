//! What a lease keeps across a restore of the platform's store.

use crate::domain::{FencingNumber, StoreEra, Timestamp};

/// The era of the store in which a lease is contended for.
///
/// A restore may lose the record of the last holder, who may send orders until the end of its term.
/// The entry that held the lease when the restore became known is that holder, and may acquire the
/// lease again without a cooldown until its term ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseEra {
    era: Option<StoreEra>,
    /// The end of the term that was held when the era became known.
    exclusive_until: Timestamp,
}

impl LeaseEra {
    /// Creates the state before the first reply.
    pub const fn new() -> Self {
        Self {
            era: None,
            exclusive_until: Timestamp::ZERO,
        }
    }

    /// Records the era of a reply. `held_until` is the end of the term that is held, if any. Returns
    /// whether the store was restored since the last reply.
    pub fn enter(&mut self, era: Option<StoreEra>, held_until: Timestamp) -> bool {
        if era.is_none() || era == self.era {
            return false;
        }
        let restored = self.era.is_some();
        *self = Self {
            era,
            // After a second restore the term from before the first still excludes others.
            exclusive_until: held_until.max(self.exclusive_until),
        };
        restored
    }

    /// Returns the era, or zero if the platform reports none.
    pub fn get(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// Returns the first fencing number of the era.
    pub fn first_number(&self) -> FencingNumber {
        FencingNumber::first(self.get())
    }

    /// Returns whether no other entry can have held the lease since this one did.
    pub fn is_exclusive(&self, now: Timestamp) -> bool {
        now < self.exclusive_until
    }

    /// Records that another entry has acquired the lease in this era.
    pub const fn end_exclusive(&mut self) {
        self.exclusive_until = Timestamp::ZERO;
    }
}

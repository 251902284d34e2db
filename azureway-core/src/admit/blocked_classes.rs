//! The classes for which no backend server has room.

use smallvec::SmallVec;

use super::{QueuedRequest, ServiceClass};
use crate::domain::Rank;

/// The classes, by rank, for which no backend server has room at the moment.
#[derive(Clone, Debug, Default)]
pub struct BlockedClasses {
    classes: SmallVec<[(Rank, ServiceClass); 4]>,
}

impl BlockedClasses {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the class of a request that found no room.
    pub fn add(&mut self, queued: &QueuedRequest) {
        let class = ServiceClass::of(&queued.request);
        self.classes.push((queued.request.rank, class));
    }

    /// Tells whether a class of a rank is blocked.
    pub fn contains(&self, rank: Rank, class: &ServiceClass) -> bool {
        self.classes.iter().any(|(r, l)| *r == rank && l == class)
    }
}

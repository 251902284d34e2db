//! Service classes for which no backend server has capacity.

use smallvec::SmallVec;

use super::{QueuedRequest, ServiceClass};
use crate::domain::Rank;

/// The set of ranks and service classes for which no backend server has capacity at the moment.
#[derive(Clone, Debug, Default)]
pub struct BlockedClasses {
    classes: SmallVec<[(Rank, ServiceClass); 4]>,
}

impl BlockedClasses {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the rank and class of a request that no backend server could take.
    pub fn add(&mut self, queued: &QueuedRequest) {
        let class = ServiceClass::of(&queued.request);
        self.classes.push((queued.request.rank, class));
    }

    /// Returns whether `class` is blocked for `rank`.
    pub fn contains(&self, rank: Rank, class: &ServiceClass) -> bool {
        self.classes.iter().any(|(r, c)| *r == rank && c == class)
    }
}

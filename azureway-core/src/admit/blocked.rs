//! The lanes for which no backend server has room.

use smallvec::SmallVec;

use super::{Lane, Queued};
use crate::domain::Rank;

/// The lanes, by rank, for which no backend server has room at the moment.
#[derive(Clone, Debug, Default)]
pub struct Blocked {
    lanes: SmallVec<[(Rank, Lane); 4]>,
}

impl Blocked {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the lane of a request that found no room.
    pub fn add(&mut self, queued: &Queued) {
        let lane = Lane::of(&queued.request);
        self.lanes.push((queued.request.rank, lane));
    }

    /// Tells whether a lane of a rank is blocked.
    pub fn contains(&self, rank: Rank, lane: &Lane) -> bool {
        self.lanes.iter().any(|(r, l)| *r == rank && l == lane)
    }
}

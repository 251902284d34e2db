//! The server with the least load.

use super::{Candidate, Policy, RequestProfile};
use crate::domain::Timestamp;

/// Chooses the server that runs the fewest requests. A baseline.
#[derive(Clone, Debug, Default)]
pub struct LeastLoaded;

impl LeastLoaded {
    /// Creates the policy.
    pub const fn new() -> Self {
        Self
    }
}

impl Policy for LeastLoaded {
    const NAME: &'static str = "least-loaded";

    fn choose(
        &mut self,
        _: RequestProfile,
        candidates: &[Candidate<'_>],
        now: Timestamp,
    ) -> Option<usize> {
        let places = candidates.iter().enumerate();
        places
            .min_by_key(|(_, c)| c.state.load(now))
            .map(|(place, _)| place)
    }
}

//! A baseline policy that uses load alone and ignores cached prefixes.

use super::{Candidate, Policy, RequestProfile};
use crate::domain::Timestamp;

/// Chooses the server with the fewest requests. It serves as a baseline.
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
        let indexed = candidates.iter().enumerate();
        indexed
            .min_by_key(|(_, c)| c.state.load(now))
            .map(|(index, _)| index)
    }
}

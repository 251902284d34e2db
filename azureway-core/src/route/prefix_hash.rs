//! The server that the prefix prefers.

use super::{Candidate, Policy, Rendezvous, RequestProfile};
use crate::domain::Timestamp;

/// Chooses the server that the prefix prefers, whatever its load. A baseline.
#[derive(Clone, Debug, Default)]
pub struct PrefixHash;

impl PrefixHash {
    /// Creates the policy.
    pub const fn new() -> Self {
        Self
    }
}

impl Policy for PrefixHash {
    const NAME: &'static str = "prefix-hash";

    fn choose(
        &mut self,
        profile: RequestProfile,
        candidates: &[Candidate<'_>],
        _: Timestamp,
    ) -> Option<usize> {
        let order = Rendezvous::new(profile.prefix);
        let places = candidates.iter().enumerate();
        places
            .max_by_key(|(_, c)| order.weight(&c.state.server.id))
            .map(|(place, _)| place)
    }
}

//! A baseline policy that uses the prefix alone and ignores load.

use super::{Candidate, Policy, Rendezvous, RequestProfile};
use crate::domain::Timestamp;

/// Chooses the server with the highest rendezvous weight for the prefix, whatever its load. It
/// serves as a baseline.
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
        let indexed = candidates.iter().enumerate();
        indexed
            .max_by_key(|(_, c)| order.weight(&c.state.server.id))
            .map(|(index, _)| index)
    }
}

//! The product's policy: the least estimated time to first token.

use std::cmp::Reverse;

use super::{Candidate, Estimate, Job, Policy, Rendezvous};
use crate::domain::Timestamp;

/// Chooses the server with the least estimated time to first token. Among equals it takes
/// the one that the prefix prefers, so that entries which know nothing yet agree.
#[derive(Clone, Debug, Default)]
pub struct PrefixLoad;

impl PrefixLoad {
    /// Creates the policy.
    pub const fn new() -> Self {
        Self
    }
}

impl Policy for PrefixLoad {
    const NAME: &'static str = "prefix-load";

    fn choose(&mut self, job: Job, candidates: &[Candidate<'_>], _: Timestamp) -> Option<usize> {
        let order = Rendezvous::new(job.prefix);
        let rank = |c: &Candidate<'_>| {
            let time = Estimate::new(job, c).total();
            (time, Reverse(order.weight(&c.state.server.id)))
        };
        let places = candidates.iter().enumerate();
        places.min_by_key(|(_, c)| rank(c)).map(|(place, _)| place)
    }
}

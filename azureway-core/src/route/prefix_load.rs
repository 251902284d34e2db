//! The product's policy: the least estimated time to first token.

use std::time::Duration;

use super::{Candidate, Estimate, Policy, RequestProfile, mix};
use crate::domain::Timestamp;

/// Chooses the server with the least estimated time to first token, with what it costs the
/// requests behind to compute the prompt.
///
/// Estimates that differ by less than the reports can tell count as equal. Among equals a
/// server that the prefix is kept on goes first, and among these each request draws its
/// own, so that entries which hold the same stale report do not all choose the same one.
#[derive(Clone, Debug, Default)]
pub struct PrefixLoad;

/// The difference between two estimates that still counts as none.
const SLACK: Duration = Duration::from_millis(20);

impl PrefixLoad {
    /// Creates the policy.
    pub const fn new() -> Self {
        Self
    }
}

impl Policy for PrefixLoad {
    const NAME: &'static str = "prefix-load";

    fn choose(
        &mut self,
        profile: RequestProfile,
        candidates: &[Candidate<'_>],
        now: Timestamp,
    ) -> Option<usize> {
        let cost = |c: &Candidate<'_>| Estimate::new(profile, c, now).cost();
        let bound = candidates.iter().map(cost).min()? + SLACK;
        let order = |c: &Candidate<'_>| match c.replica {
            true => (true, mix(c.weight ^ profile.seed)),
            false => (false, c.weight),
        };
        let places = candidates.iter().enumerate();
        places
            .filter(|(_, c)| cost(c) <= bound)
            .max_by_key(|(_, c)| order(c))
            .map(|(place, _)| place)
    }
}

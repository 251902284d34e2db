//! The production policy: the least estimated cost, with prefix affinity among equals.

use std::time::Duration;

use super::{Candidate, Estimate, Policy, RequestProfile, mix};
use crate::domain::Timestamp;

/// Chooses the server with the least [`Estimate::cost`]: the estimated time to first token, the
/// traffic, the recomputed prefix and the delay that the prefill causes to other requests.
///
/// Costs that differ by less than the accuracy of load reports count as equal. Among equals,
/// replicas of the prefix are preferred, and the request's seed picks one of them, so that
/// entries with the same stale report do not all choose the same server.
#[derive(Clone, Debug, Default)]
pub struct PrefixLoad;

/// The largest difference between two costs that count as equal.
const TIE_MARGIN: Duration = Duration::from_millis(20);

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
        let least = candidates.iter().map(cost).min()?;
        let limit = least.saturating_add(TIE_MARGIN);
        let order = |c: &Candidate<'_>| match c.replica {
            true => (true, mix(c.weight ^ profile.seed)),
            false => (false, c.weight),
        };
        let indexed = candidates.iter().enumerate();
        indexed
            .filter(|(_, c)| cost(c) <= limit)
            .max_by_key(|(_, c)| order(c))
            .map(|(index, _)| index)
    }
}

//! The static-split policy, which uses no load reports.

use smallvec::SmallVec;

use super::{Candidate, Policy, RequestProfile, mix};
use crate::admit::DemandMeter;
use crate::domain::Timestamp;

/// Picks a server at random with the probabilities that minimise the sum of the mean sojourn
/// times of independent queues, given only the servers' rates and the arrival rate. It serves as
/// a baseline.
///
/// The probabilities are those of Guo, Lu and Squillante, *Optimal Probabilistic Routing in
/// Distributed Parallel Queues*, equation 14, for Poisson arrivals and equal variances.
#[derive(Clone, Debug, Default)]
pub struct StaticSplit {
    arrivals: DemandMeter,
}

/// The range of a 64-bit random number, 2^64.
const SEED_RANGE: f64 = 18_446_744_073_709_551_616.0;

impl StaticSplit {
    /// Creates the policy.
    pub fn new() -> Self {
        Self::default()
    }
}

impl Policy for StaticSplit {
    const NAME: &'static str = "static-split";

    fn choose(
        &mut self,
        profile: RequestProfile,
        candidates: &[Candidate<'_>],
        now: Timestamp,
    ) -> Option<usize> {
        self.arrivals.add(profile.prompt.get() as f64, now);
        let entries = candidates.first()?.state.entries();
        let arrivals = self.arrivals.rate(now) * f64::from(entries);
        let shares = shares(candidates, arrivals);
        let total: f64 = shares.iter().sum();
        let mut remaining = mix(profile.seed) as f64 / SEED_RANGE * total;
        let last = candidates.len() - 1;
        let selects = |share: &f64| {
            remaining -= share;
            remaining < 0.0
        };
        Some(shares.iter().position(selects).unwrap_or(last))
    }
}

/// Returns each server's rate less an equal part of the spare rate. A server whose share would be
/// negative gets none and does not contribute to the spare rate.
fn shares(candidates: &[Candidate<'_>], arrivals: f64) -> SmallVec<[f64; 16]> {
    let rates = candidates
        .iter()
        .map(|c| c.state.server.prefill.get() as f64);
    let rates: SmallVec<[f64; 16]> = rates.collect();
    let mut used = rates.clone();
    used.sort_unstable_by(|a, b| b.total_cmp(a));
    let mut spare = 0.0;
    while let Some(slowest) = used.last() {
        spare = (used.iter().sum::<f64>() - arrivals).max(0.0) / used.len() as f64;
        if *slowest >= spare {
            break;
        }
        used.pop();
    }
    rates.iter().map(|r| (r - spare).max(0.0)).collect()
}

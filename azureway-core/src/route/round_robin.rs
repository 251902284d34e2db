//! A baseline policy that ignores both load and cached prefixes.

use super::{Candidate, Policy, RequestProfile};
use crate::domain::Timestamp;

/// Chooses the servers in turn. It serves as a baseline.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl RoundRobin {
    /// Creates the policy.
    pub const fn new() -> Self {
        Self { turn: 0 }
    }
}

impl Policy for RoundRobin {
    const NAME: &'static str = "round-robin";

    fn choose(
        &mut self,
        _: RequestProfile,
        candidates: &[Candidate<'_>],
        _: Timestamp,
    ) -> Option<usize> {
        let turn = self.turn.checked_rem(candidates.len())?;
        self.turn = turn + 1;
        Some(turn)
    }
}

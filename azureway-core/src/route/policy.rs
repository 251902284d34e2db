//! The trait by which the router chooses among the candidates for a request.

use super::{Candidate, RequestProfile};
use crate::domain::Timestamp;

/// A routing policy, which chooses a backend server for a request.
///
/// The policy is a generic parameter of the router, so that a replay can compare several.
pub trait Policy {
    /// The name of the policy in reports.
    const NAME: &'static str;

    /// Returns the index of the chosen candidate, or `None` if `candidates` is empty.
    ///
    /// `candidates` are ordered by server name, so that all entry instances see the same order.
    fn choose(
        &mut self,
        profile: RequestProfile,
        candidates: &[Candidate<'_>],
        now: Timestamp,
    ) -> Option<usize>;
}

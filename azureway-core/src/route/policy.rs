//! The interface of a routing policy.

use super::{Candidate, RequestProfile};
use crate::domain::Timestamp;

/// A way to choose a backend server for a request.
///
/// A policy is a generic parameter of the router, so that a replay compares several.
pub trait Policy {
    /// The name of the policy in reports.
    const NAME: &'static str;

    /// Returns the place of the chosen candidate, or `None` if there is none.
    ///
    /// `candidates` come in the order of their names, which is the same at every entry.
    fn choose(
        &mut self,
        profile: RequestProfile,
        candidates: &[Candidate<'_>],
        now: Timestamp,
    ) -> Option<usize>;
}

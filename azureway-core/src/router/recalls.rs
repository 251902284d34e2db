//! Recalling the requests that wait in servers whose weights may soon no longer answer.

use super::{InFlight, RetryDecision, Router};
use crate::domain::Timestamp;
use crate::event::{Action, Failure, FailureKind};
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Recalls the attempts that have not begun and must not begin any more. Each then fails, unless its
    /// answer has begun meanwhile.
    pub(super) fn recall_outdated(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let recalls = self.dispatcher.take_recalls(&self.fleet, now);
        out.extend(recalls.into_iter().map(Action::Recall));
    }

    /// Returns the decision about a recalled request. It is retried only within the budget that the
    /// retries before it leave, since the caller of one that waits for more can try again sooner.
    pub(super) fn limit_recalled(
        &mut self,
        decision: RetryDecision,
        flight: &InFlight,
        failure: &Failure,
        now: Timestamp,
    ) -> RetryDecision {
        if failure.kind != FailureKind::Recalled || decision != RetryDecision::Retry {
            return decision;
        }
        let available = self.budgets.for_pool(&flight.pool, now).available();
        let waiting = u64::try_from(self.retries.len()).unwrap_or(u64::MAX);
        match available <= waiting {
            true => RetryDecision::Refuse(RetryDecision::recalled(failure)),
            false => decision,
        }
    }
}

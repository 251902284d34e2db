//! Settling what client accounts were charged for requests.

use super::Router;
use crate::domain::Timestamp;
use crate::event::{Action, Failure};
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Gives back what was charged for the requests that `actions` refuse as not run, or answer without
    /// running them.
    pub(super) fn settle_refused(&mut self, actions: &[Action], now: Timestamp) {
        for action in actions {
            match action {
                Action::Refuse(id, refusal) => self.limits.settle(*id, refusal.not_run, now),
                Action::ReplayAnswer(id, _) => self.limits.settle(*id, true, now),
                _ => {}
            }
        }
    }

    /// Keeps the charge of a request whose failed attempt may have run.
    pub(super) fn keep_charge(&mut self, failure: &Failure) {
        if !failure.sent.is_not_run() {
            self.limits.keep_charge(failure.attempt.id);
        }
    }
}

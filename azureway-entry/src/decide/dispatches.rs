//! Starts the attempts that the router dispatches.

use std::sync::Arc;

use azureway_core::prelude::{Dispatch, Policy};

use super::Decider;
use super::decision_log::log_dispatch;
use crate::caller::RequestUpdate;
use crate::feed::Subscribe;
use crate::relay::Launch;

impl<P: Policy, L: Launch, S: Subscribe> Decider<P, L, S> {
    /// Starts an attempt, unless its request has ended.
    pub(super) fn dispatch(&mut self, dispatch: Dispatch) {
        let Some(pending) = self.requests.record_dispatch(&dispatch) else {
            return;
        };
        let now = self.clock.now();
        log_dispatch(&dispatch, pending, now);
        let attempt = dispatch.attempt;
        let metric = pending.sent_metric(attempt, now);
        let chunks = self.relays.launch(dispatch, Arc::clone(&pending.upstream));
        let started = RequestUpdate::AttemptStarted {
            attempt,
            streamed: pending.upstream.streamed,
            chunks,
        };
        let _ = pending.updates.try_send(started);
        self.record_metric(metric);
    }
}

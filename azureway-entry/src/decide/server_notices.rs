//! What backend servers say of themselves with their answers.

use azureway_core::prelude::{Event, LoadSample, PauseNotice, Policy};

use super::Decider;
use super::decision_log::{log_pause, log_rate_limit};
use crate::feed::Subscribe;
use crate::relay::Launch;

impl<P: Policy, L: Launch, S: Subscribe> Decider<P, L, S> {
    pub(super) fn handle_sample(&mut self, sample: &LoadSample) {
        log_rate_limit(&self.router, sample);
        if let Some(weights) = sample.weights {
            self.orders.forward_weights(&sample.server, weights);
        }
        self.handle_event(Event::LoadSample(sample));
    }

    /// Holds a server that asked for a pause, the reader of its feed and the ordering duty's calls.
    pub(super) fn handle_pause(&mut self, notice: &PauseNotice) {
        log_pause(&self.router, notice, self.clock.now());
        self.orders.hold(&notice.server);
        self.handle_event(Event::Paused(notice));
        let state = self.router.servers().get(&notice.server);
        if let Some(until) = state.map(|s| s.pause.until()) {
            self.feeds.hold(&notice.server, self.clock.instant(until));
        }
    }
}

//! What backend servers say of themselves with their answers.

use std::time::Instant;

use azureway_core::prelude::{Event, LoadSample, PauseNotice, Policy, ServerId};

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

    /// Returns the servers whose pause has not ended, each with its end.
    pub(super) fn held_servers(&self) -> Vec<(ServerId, Instant)> {
        let (servers, now) = (self.router.servers(), self.clock.now());
        let held = servers.iter().filter(|s| s.pause.holds(now));
        let end = |until| self.clock.instant(until);
        held.map(|s| (s.server.id.clone(), end(s.pause.until())))
            .collect()
    }

    /// Holds a server that asked for a pause, the reader of its feed and the ordering duty's calls.
    pub(super) fn handle_pause(&mut self, notice: &PauseNotice) {
        log_pause(&self.router, notice, self.clock.now());
        self.orders.hold(&notice.server);
        self.handle_event(Event::Paused(notice));
        let hold = self.router.servers().hold(&notice.server);
        if let Some((hold, _)) = hold {
            let until = self.clock.instant(hold.until());
            self.feeds.hold(&notice.server, until);
        }
    }
}

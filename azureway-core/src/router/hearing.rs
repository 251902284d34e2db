//! What a router hears of servers and entries.

use super::Router;
use crate::cache::CacheUpdate;
use crate::domain::Timestamp;
use crate::event::Action;
use crate::fleet::{LoadReport, LoadSample};
use crate::route::Policy;

impl<P: Policy> Router<P> {
    pub(super) fn hear(&mut self, update: &CacheUpdate<'_>, out: &mut Vec<Action>) {
        if self.sender.hear(update) {
            out.push(Action::Resync(update.server.clone()));
        }
    }

    pub(super) fn report(&mut self, report: &LoadReport, now: Timestamp, out: &mut Vec<Action>) {
        out.extend(self.sender.leave_news(report).map(Action::BroadcastServer));
        if let Some(pool) = self.sender.report(report, now) {
            self.queues.mark(pool);
        }
    }

    /// Takes in the number of entries of all availability zones.
    pub(super) fn list(&mut self, count: u32) {
        self.limits.share_mut().set_entries(count);
        self.budgets.set_entries(count);
        if self.config.shared_servers && self.sender.servers().entries() != count {
            self.sender.servers_mut().set_entries(count);
        }
    }

    pub(super) fn sample(&mut self, sample: &LoadSample, now: Timestamp) {
        if let Some(pool) = self.sender.sample(sample, now) {
            self.queues.mark(pool);
        }
    }
}

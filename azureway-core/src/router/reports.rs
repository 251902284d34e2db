//! Handlers of reports from backend servers and entry instances.

use super::Router;
use crate::cache::CacheUpdate;
use crate::domain::{ServerId, Timestamp};
use crate::event::Action;
use crate::fleet::{LoadReport, LoadSample};
use crate::member::LoadNotice;
use crate::route::Policy;

impl<P: Policy> Router<P> {
    pub(super) fn update_cache(&mut self, update: &CacheUpdate<'_>, out: &mut Vec<Action>) {
        if self.dispatcher.update_cache(update) {
            out.push(Action::Resync(update.server.clone()));
        }
    }

    pub(super) fn apply_report(
        &mut self,
        report: &LoadReport,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        out.extend(
            self.dispatcher
                .leaving_update(report)
                .map(Action::BroadcastServer),
        );
        if let Some(pool) = self.dispatcher.apply_report(report, now) {
            self.queues.mark_dirty(pool);
        }
    }

    pub(super) fn apply_loading(&mut self, notice: &LoadNotice, now: Timestamp) {
        self.dispatcher.apply_loading(notice, now);
        self.queues.mark_all_dirty();
    }

    /// Applies the platform's complete list of leaving servers.
    pub(super) fn set_listed_leaving(&mut self, list: &[ServerId]) {
        self.dispatcher.servers_mut().set_listed_leaving(list);
        self.queues.mark_all_dirty();
    }

    /// Sets the number of listed entries of all availability zones.
    pub(super) fn set_listed_entries(&mut self, count: u32) {
        self.limits.set_entries(count);
        self.budgets.set_entries(count);
        if self.config.shared_servers && self.dispatcher.servers().entries() != count {
            self.dispatcher.servers_mut().set_entries(count);
        }
    }

    pub(super) fn apply_sample(&mut self, sample: &LoadSample, now: Timestamp) {
        if let Some(pool) = self.dispatcher.apply_sample(sample, now) {
            self.queues.mark_dirty(pool);
        }
    }
}

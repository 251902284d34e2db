//! The duty that composes what was read of a site.

use std::sync::Arc;

use azureway_core::prelude::*;
use flume::{Receiver, RecvTimeoutError, Sender};

use super::SiteNews;
use crate::admit::AdmitMessage;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::routed::ServingState;

/// The duty that composes what was read of a site into one fleet and passes it on.
#[derive(Debug)]
pub struct SiteDuty {
    state: SiteState,
    news: Receiver<SiteNews>,
    admit: Sender<AdmitMessage>,
    decide: Sender<DecideMessage>,
    serving: ServingState,
    clock: Clock,
}

impl SiteDuty {
    /// Creates the duty over the news of the watching duties.
    pub const fn new(
        state: SiteState,
        news: Receiver<SiteNews>,
        admit: Sender<AdmitMessage>,
        decide: Sender<DecideMessage>,
        serving: ServingState,
        clock: Clock,
    ) -> Self {
        Self {
            state,
            news,
            admit,
            decide,
            serving,
            clock,
        }
    }

    /// Runs until every watching duty has ended.
    pub fn run(mut self) {
        loop {
            let first = match self.state.next_wakeup() {
                Some(time) => self.news.recv_deadline(self.clock.instant(time)),
                None => self.news.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            let now = self.clock.now();
            let mut changed = self.state.remove_expired(now);
            match first {
                Ok(news) => changed |= self.take(news, now),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // What has come meanwhile is composed in one step.
            let more: Vec<_> = self.news.drain().collect();
            for news in more {
                changed |= self.take(news, now);
            }
            if changed {
                self.pass_on();
            }
        }
    }

    /// Takes in news. Returns whether the fleet changed.
    fn take(&mut self, news: SiteNews, now: Timestamp) -> bool {
        match news {
            SiteNews::Document(document) => {
                let (version, known) = (document.version, self.state.version());
                let newer = self.state.configure(*document);
                log::info!(step = "read site", version:% = version, known:? = known, newer = newer; "a configuration was read");
                return newer;
            }
            SiteNews::Servers(entries, back) => {
                log::info!(step = "read site", servers = entries.len(); "the list of servers was read");
                self.state.set_servers(entries, back, now);
            }
            SiteNews::Server(entry) => {
                log::info!(
                    step = "read site", peer:% = entry.id, service:% = entry.service,
                    leaving = entry.leaving, incarnation:% = entry.incarnation,
                    weights:? = entry.weights; "a server was listed"
                );
                self.state.update_server(*entry);
            }
            SiteNews::Gone(id, back) => {
                log::info!(step = "read site", peer:% = id; "a server is no longer listed");
                self.state.remove_server(&id, back, now);
            }
            SiteNews::Weights(named, since) => {
                let age = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
                log::info!(step = "read site", model:% = named.model, weights:% = named.version, age_ms = age; "weights were named");
                return self.state.add_named(named, since);
            }
        }
        true
    }

    fn pass_on(&mut self) {
        let Some(fleet) = self.state.build_fleet() else {
            return;
        };
        self.serving.set_limits(fleet.limits);
        let fleet = Arc::new(fleet);
        // Both duties end only with the process.
        let _ = self
            .admit
            .send(AdmitMessage::Configured(Arc::clone(&fleet)));
        let _ = self.decide.send(DecideMessage::Configured(fleet));
    }
}

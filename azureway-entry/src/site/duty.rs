//! The thread that joins the updates of all site watchers into one fleet.

use std::sync::Arc;

use azureway_core::prelude::*;
use flume::{Receiver, RecvTimeoutError, Sender};

use super::SiteUpdate;
use crate::admit::AdmitMessage;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::retirement::RetirementMessage;
use crate::routed::ServingState;

/// The duty that builds the fleet from the updates of a site and sends it to the admitting duty.
#[derive(Debug)]
pub struct SiteDuty {
    state: SiteState,
    updates: Receiver<SiteUpdate>,
    admit: Sender<AdmitMessage>,
    decide: Sender<DecideMessage>,
    serving: ServingState,
    clock: Clock,
    /// The ring to the duty that keeps retirements of weights at the platform, if the daemon has one.
    retirements: Option<Sender<RetirementMessage>>,
}

impl SiteDuty {
    /// Creates the duty, which receives the updates of the site watchers.
    pub const fn new(
        state: SiteState,
        updates: Receiver<SiteUpdate>,
        admit: Sender<AdmitMessage>,
        decide: Sender<DecideMessage>,
        serving: ServingState,
        clock: Clock,
    ) -> Self {
        Self {
            state,
            updates,
            admit,
            decide,
            serving,
            clock,
            retirements: None,
        }
    }

    /// Sets the ring to the duty that keeps retirements of weights.
    #[must_use]
    pub fn with_retirements(mut self, retirements: Sender<RetirementMessage>) -> Self {
        self.retirements = Some(retirements);
        self
    }

    /// Runs until every site watcher has ended.
    pub fn run(mut self) {
        loop {
            let first = match self.state.next_wakeup() {
                Some(time) => self.updates.recv_deadline(self.clock.instant(time)),
                None => self
                    .updates
                    .recv()
                    .map_err(|_| RecvTimeoutError::Disconnected),
            };
            let now = self.clock.now();
            let mut changed = self.state.remove_expired(now);
            match first {
                Ok(update) => changed |= self.apply(update, now),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // Applies all updates that are waiting, so that the fleet is built once for them.
            let waiting: Vec<_> = self.updates.drain().collect();
            for update in waiting {
                changed |= self.apply(update, now);
            }
            if changed {
                self.store_retirements();
                self.publish(now);
            }
        }
    }

    /// Applies an update. Returns whether the fleet may have changed.
    fn apply(&mut self, update: SiteUpdate, now: Timestamp) -> bool {
        match update {
            SiteUpdate::Document(document) => {
                return self.configure(*document);
            }
            SiteUpdate::Servers(servers, recovered) => {
                log::info!(step = "read site", servers = servers.len(); "the list of servers was read");
                self.state.set_servers(servers, recovered, now);
            }
            SiteUpdate::Server(server) => self.update_server(*server),
            SiteUpdate::Removed(id, recovered) => {
                log::info!(step = "read site", peer:% = id; "a server is no longer listed");
                self.state.remove_server(&id, recovered, now);
            }
            SiteUpdate::Disturbed(disturbance) => self.record_disturbance(disturbance, now),
            SiteUpdate::ListedUntil(until, recovered) => {
                // The next fleet carries the time. A fleet for each answer would cost every duty too much.
                self.state.set_listed_until(until, recovered);
                return false;
            }
            SiteUpdate::Quarantine(change) => {
                log::info!(step = "read site", part:% = change.part(), crashes = change.crashes(); "a stored quarantine was read");
                // Sending cannot fail: the deciding duty runs until the process ends.
                let _ = self.decide.send(DecideMessage::QuarantineChanged(change));
                return false;
            }
            SiteUpdate::QuarantinesLost => {
                log::warn!(step = "read site"; "quarantines known here are stored again");
                let _ = self.decide.send(DecideMessage::QuarantinesLost);
                return false;
            }
            SiteUpdate::Weights(named, since) => return self.add_named(named, since, now),
            SiteUpdate::NamedUntil(until) => return self.retire(until, now),
            SiteUpdate::Retired(model, oldest) => {
                log::info!(step = "read site", model:% = model, oldest:% = oldest; "a retirement of weights was read");
                return self.state.rollouts_mut().add_retired(&model, oldest);
            }
        }
        true
    }

    fn record_disturbance(&mut self, disturbance: Disturbance, now: Timestamp) {
        let age = u64::try_from(now.since(disturbance.until).as_millis()).unwrap_or(u64::MAX);
        log::info!(
            step = "read site", age_ms = age, restored = disturbance.restored;
            "the grace period of older weights begins anew after a disturbance of the platform"
        );
        let retired = self.state.rollouts_mut().record_disturbance(disturbance);
        self.log_retired(&retired, now);
        if let Some(keeper) = &self.retirements {
            // A keeper whose ring is full is about to read or write.
            let _ = keeper.try_send(RetirementMessage::Read);
        }
    }

    /// Gives up the weights whose grace period ended before `until`. Returns whether there are any.
    fn retire(&mut self, until: Timestamp, now: Timestamp) -> bool {
        let retired = self.state.rollouts_mut().retire(until);
        self.log_retired(&retired, now);
        !retired.is_empty()
    }

    /// Logs weights that were given up, whatever disturbs the platform later.
    fn log_retired(&self, retired: &[(ModelId, Retirement)], now: Timestamp) {
        for (model, retirement) in retired {
            let age = u64::try_from(now.since(retirement.ended).as_millis()).unwrap_or(u64::MAX);
            log::info!(
                step = "read site", model:% = model, oldest:% = retirement.oldest, age_ms = age;
                "older weights were given up"
            );
        }
    }

    /// Passes the retirements on that the platform's store lacks. What does not fit into the ring is passed
    /// on with the next change.
    fn store_retirements(&mut self) {
        let Some(keeper) = &self.retirements else {
            return;
        };
        for (model, oldest) in self.state.unstored_retirements() {
            let message = RetirementMessage::Store(model.clone(), oldest);
            if keeper.try_send(message).is_ok() {
                self.state.rollouts_mut().record_stored(&model, oldest);
            }
        }
    }

    fn update_server(&mut self, server: ListedServer) {
        log::info!(
            step = "read site", peer:% = server.id, service:% = server.service,
            leaving = server.leaving, incarnation:% = server.incarnation,
            weights:? = server.weights; "a server was listed"
        );
        self.state.update_server(server);
    }

    /// Adds weights that were named no earlier than at `since`. Returns whether they are newer than
    /// the known ones.
    fn add_named(&mut self, named: NamedWeights, since: Timestamp, now: Timestamp) -> bool {
        let age = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        log::info!(step = "read site", model:% = named.model, weights:% = named.version, age_ms = age; "weights were named");
        self.state.rollouts_mut().add(named, since)
    }

    /// Applies a configuration. Returns whether it is newer than the known one.
    fn configure(&mut self, document: SiteDocument) -> bool {
        let (version, known) = (document.version, self.state.version());
        let (routes, accounts) = (document.routes.len(), document.accounts.len());
        let idle = document.limits.idle_timeout;
        for (account, fault) in &document.limit_faults {
            log::warn!(step = "read site", version:% = version, account:% = account, fault:% = fault; "the limit of a client account cannot be read, and its last one stays in force");
        }
        let newer = self.state.configure(document);
        log::info!(
            step = "read site", version:% = version, known:? = known, newer = newer,
            routes = routes, accounts = accounts, idle:? = idle;
            "a configuration was read"
        );
        newer
    }

    /// Builds the fleet from the updates that were received at `noticed`, and sends it to the admitting
    /// duty.
    fn publish(&mut self, noticed: Timestamp) {
        let Some(mut fleet) = self.state.build_fleet() else {
            return;
        };
        fleet.noticed = noticed;
        self.serving.set_limits(fleet.limits);
        log::info!(
            step = "read site", fleet:% = fleet.version, servers = fleet.servers.len(),
            listed_age:? = self.clock.now().since(fleet.listed_until),
            version:% = self.state.version().unwrap_or(ConfigVersion::ZERO);
            "a fleet was built"
        );
        let fleet = Arc::new(fleet);
        // Sending cannot fail: the admitting duty runs until the process ends.
        let _ = self.admit.send(AdmitMessage::Configured(fleet));
    }
}

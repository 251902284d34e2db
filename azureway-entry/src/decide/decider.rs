//! The thread that owns the router: all routing decisions and their actions run here.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use azureway_core::prelude::*;
use flume::{Receiver, RecvTimeoutError, Sender};

use super::decision_log::{log_crash_report, log_leaving, log_recall};
use super::{DecideMessage, PeerUpdate, PendingRequests, VersionTracker};
use crate::admit::AdmittedRequest;
use crate::claim::ClaimClient;
use crate::clock::Clock;
use crate::daemon::Rings;
use crate::feed::Subscribe;
use crate::meter::MetricEvent;
use crate::order::OrderClient;
use crate::peer::PeerClient;
use crate::quarantine::QuarantineClient;
use crate::relay::Launch;

/// The deciding duty: passes events to the router and carries out the actions that it returns.
#[derive(Debug)]
pub struct Decider<P, L, S> {
    pub(super) router: Router<P>,
    messages: Receiver<DecideMessage>,
    pub(super) clock: Clock,
    pub(super) requests: PendingRequests,
    claims: ClaimClient,
    pub(super) orders: OrderClient,
    pub(super) relays: L,
    pub(super) feeds: S,
    peers: PeerClient,
    quarantines: QuarantineClient,
    meter: Sender<MetricEvent>,
    ready: Arc<AtomicBool>,
    ready_tx: Sender<()>,
    actions: Vec<Action>,
    drained: Option<Sender<()>>,
    pub(super) versions: VersionTracker,
}

impl<P: Policy, L: Launch, S: Subscribe> Decider<P, L, S> {
    /// Creates the duty of instance `me`.
    pub fn new(router: Router<P>, rings: &Rings, relays: L, feeds: S, me: InstanceId) -> Self {
        Self {
            router,
            messages: rings.decide_messages.clone(),
            clock: rings.clock,
            requests: PendingRequests::new(),
            claims: ClaimClient::new(&rings.claims),
            orders: OrderClient::new(rings.order.clone()),
            relays,
            feeds,
            peers: PeerClient::new(me, rings.peer.clone()),
            quarantines: QuarantineClient::new(),
            meter: rings.meter.clone(),
            ready: Arc::clone(&rings.ready),
            ready_tx: rings.ready_tx.clone(),
            actions: Vec::new(),
            drained: None,
            versions: VersionTracker::new(),
        }
    }

    /// Sets the client of the duty that stores quarantined parts at the platform.
    #[must_use]
    pub fn with_quarantine_store(mut self, quarantines: QuarantineClient) -> Self {
        self.quarantines = quarantines;
        self
    }

    /// Runs until the daemon has drained.
    pub fn run(mut self) {
        while !self.is_drained() {
            match self.receive() {
                Ok(message) => self.handle_message(message),
                Err(RecvTimeoutError::Timeout) => self.handle_event(Event::Tick),
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.execute_actions();
        }
        self.feeds.stop();
        if let Some(drained) = self.drained {
            let _ = drained.try_send(());
        }
    }

    fn is_drained(&self) -> bool {
        self.drained.is_some() && self.router.active() == 0
    }

    fn receive(&self) -> Result<DecideMessage, RecvTimeoutError> {
        match self.router.next_wakeup() {
            Some(time) => self.messages.recv_deadline(self.clock.instant(time)),
            None => self
                .messages
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected),
        }
    }

    pub(super) fn handle_event(&mut self, event: Event<'_>) {
        let now = self.clock.now();
        self.router.handle(event, now, &mut self.actions);
        self.orders.update_holds(self.router.servers(), now);
        for change in self.router.take_leaving_changes() {
            log_leaving(&self.router, &change);
        }
    }

    fn handle_message(&mut self, message: DecideMessage) {
        match message {
            DecideMessage::Arrived(admitted) => self.handle_arrival(*admitted),
            DecideMessage::CallerDisconnected(id) => self.handle_disconnect(id),
            DecideMessage::Started(attempt) => self.handle_start(attempt),
            DecideMessage::Finished(finish) => self.handle_finish(&finish),
            DecideMessage::Answered(finish, answer) => {
                self.claims.offer_answer(finish.attempt.id, answer);
                self.handle_finish(&finish);
            }
            DecideMessage::Claim(outcome) => self.handle_event(Event::Claim(&outcome)),
            DecideMessage::Failed(failure) => self.handle_failure(&failure),
            DecideMessage::Load(report) => {
                self.orders.forward_report(&report);
                self.handle_event(Event::Load(&report));
            }
            DecideMessage::LoadSample(sample) => self.handle_sample(&sample),
            DecideMessage::Paused(notice) => self.handle_pause(&notice),
            DecideMessage::Announced(update) => self.handle_event(Event::Announced(&update)),
            DecideMessage::Cache(update) => self.handle_event(Event::Cache(&update.view())),
            DecideMessage::Configured(fleet) => self.reconfigure(&fleet),
            DecideMessage::ConfigRejected(version) => {
                self.versions.record_rejected(version);
                self.record_metric(MetricEvent::Rejected(version));
            }
            DecideMessage::Query(query) => self.answer_query(query),
            DecideMessage::Peer(update) => self.handle_peer_update(&update),
            DecideMessage::Audience(audience) => self.set_audience(audience),
            DecideMessage::QuarantineChanged(c) => self.handle_event(Event::QuarantineChanged(&c)),
            DecideMessage::QuarantinesLost => self.handle_event(Event::QuarantinesLost),
            DecideMessage::Leaving(list) => self.handle_event(Event::Leaving(&list)),
            DecideMessage::Drain(drained) => {
                self.drained = Some(drained);
                self.drain(Event::Draining);
            }
            DecideMessage::Close(time) => self.drain(Event::Closing(self.clock.now() + time)),
        }
    }

    fn handle_arrival(&mut self, admitted: AdmittedRequest) {
        // The message that the caller has left may have come before its request.
        if admitted.upstream.link.since_disconnect().is_some() {
            log::info!(request:% = admitted.request.id, step = "decide"; "the caller left before its request was decided on");
            return;
        }
        let request = admitted.request.clone();
        let wait = self.clock.now().since(request.arrived);
        self.record_metric(MetricEvent::RingWait(wait));
        self.requests.insert(admitted);
        self.handle_event(Event::Arrived(&request));
    }

    fn handle_disconnect(&mut self, id: RequestId) {
        let pending = self.requests.remove(id);
        let wait = pending.and_then(|r| r.upstream.link.since_disconnect());
        if let Some(wait) = wait {
            self.record_metric(MetricEvent::CancelWait(wait));
        }
        self.handle_event(Event::CallerDisconnected(id));
    }

    fn handle_start(&mut self, attempt: Attempt) {
        let metric = self.requests.record_start(attempt, self.clock.now());
        metric.into_iter().for_each(|m| self.record_metric(m));
        self.handle_event(Event::Started(attempt));
    }

    /// Applies an update from other entry instances. After a round of heartbeats or of reports of demand,
    /// sends the demand at this instance to the peer duty, for the next round.
    fn handle_peer_update(&mut self, update: &PeerUpdate) {
        if let PeerUpdate::CrashReport(report) = update {
            log_crash_report(report, "peer");
        }
        self.handle_event(update.event());
        if let PeerUpdate::HeartbeatRound(_) | PeerUpdate::Demand(_) = update {
            let me = self.peers.me().clone();
            let demand = self.router.demand(me, self.clock.now());
            if let PeerUpdate::HeartbeatRound(_) = update {
                self.record_metric(MetricEvent::AccountUse(demand.accounts.clone()));
            }
            self.peers.send_demand(demand);
        }
    }

    fn reconfigure(&mut self, fleet: &Arc<Fleet>) {
        if fleet.version <= self.router.fleet().version {
            return;
        }
        let lost = fleet.noticed > Timestamp::ZERO && self.router.fleet().loses_servers(fleet);
        self.handle_event(Event::Configured(fleet));
        if lost {
            let wait = self.clock.now().since(fleet.noticed);
            self.record_metric(MetricEvent::LeaveWait(wait));
        }
        let held = self.held_servers();
        self.feeds.reconfigure(fleet, &held);
        self.orders.reconfigure(fleet);
        self.record_metric(MetricEvent::Configured(fleet.version));
        self.ready.store(self.drained.is_none(), Ordering::Release);
        self.versions.set_current(fleet.version);
        // The ring holds one signal, which is all that its receiver needs.
        let _ = self.ready_tx.try_send(());
        log::info!(step = "configure", version:% = fleet.version; "a configuration is in force");
    }

    fn set_audience(&mut self, audience: FeedAudience) {
        let held = self.held_servers();
        self.feeds
            .set_audience(audience, self.router.fleet(), &held);
    }

    fn handle_finish(&mut self, finish: &Finish) {
        let metric = self.requests.finish(finish, self.clock.now());
        metric.into_iter().for_each(|m| self.record_metric(m));
        self.handle_event(Event::Finished(finish));
    }

    fn handle_failure(&mut self, failure: &Failure) {
        let id = failure.attempt.id;
        let pending = self.requests.get_mut(id);
        let peer = pending.as_ref().map_or("", |r| r.peer());
        log::warn!(request:% = id, step = "relay", peer = peer, kind:? = failure.kind; "a try failed");
        self.handle_event(Event::Failed(failure));
    }

    fn drain(&mut self, event: Event<'_>) {
        self.ready.store(false, Ordering::Release);
        self.handle_event(event);
    }

    fn execute_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        let mut outcomes = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Dispatch(dispatch) => self.dispatch(dispatch),
                Action::Refuse(id, refusal) => {
                    log::info!(request:% = id, step = "decide", code = refusal.reason.code(), detail:% = refusal.detail, retry:? = refusal.retry_after; "refused");
                    self.record_metric(MetricEvent::Refused(refusal.reason));
                    self.requests.refuse(id, refusal);
                }
                Action::ReplayAnswer(id, answer) => self.requests.replay_answer(id, answer),
                Action::Claim(command) => outcomes.extend(self.claims.submit(command)),
                Action::Cancel(attempt) => {
                    self.relays.cancel(attempt);
                    self.record_metric(MetricEvent::Cancelled(attempt));
                }
                Action::Recall(recall) => {
                    log_recall(&recall, self.clock.now());
                    self.relays.recall(&recall);
                }
                Action::BroadcastServer(update) => self.peers.send_server(update),
                Action::BroadcastCrashReport(report) => {
                    log_crash_report(&report, "own");
                    self.peers.send_crash_report(report);
                }
                Action::StoreQuarantine(change) => self.quarantines.submit(change),
                Action::Resync(server) => self.feeds.resync(&server),
            }
        }
        self.actions = actions;
        for outcome in &outcomes {
            self.handle_event(Event::Claim(outcome));
        }
        if !self.actions.is_empty() {
            self.execute_actions();
        }
    }

    /// Passes a metric event on. It is dropped if the ring is full, since decisions must not wait.
    pub(super) fn record_metric(&self, metric: MetricEvent) {
        let _ = self.meter.try_send(metric);
    }
}

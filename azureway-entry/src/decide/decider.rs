//! The deciding duty.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use azureway_core::prelude::*;
use flume::{Receiver, RecvTimeoutError, Sender};

use super::{Callers, DaemonStatus, DecideMessage, PeerUpdate, Query, VersionNews};
use crate::admit::Admitted;
use crate::caller::RequestUpdate;
use crate::claim::ClaimClient;
use crate::clock::Clock;
use crate::daemon::Rings;
use crate::feed::Subscribe;
use crate::meter::MetricEvent;
use crate::order::OrderClient;
use crate::peer::PeerClient;
use crate::relay::Launch;

/// The deciding duty: tells the core what happened and carries out what it wants done.
#[derive(Debug)]
pub struct Decider<P, L, N> {
    router: Router<P>,
    messages: Receiver<DecideMessage>,
    clock: Clock,
    callers: Callers,
    claims: ClaimClient,
    orders: OrderClient,
    launcher: L,
    readers: N,
    peers: PeerClient,
    meter: Sender<MetricEvent>,
    ready: Arc<AtomicBool>,
    serve: Sender<()>,
    actions: Vec<Action>,
    drained: Option<Sender<()>>,
    news: VersionNews,
}

impl<P: Policy, L: Launch, N: Subscribe> Decider<P, L, N> {
    /// Creates the duty.
    pub fn new(router: Router<P>, rings: &Rings, launcher: L, readers: N, me: InstanceId) -> Self {
        Self {
            router,
            messages: rings.decide_messages.clone(),
            clock: rings.clock,
            callers: Callers::new(),
            claims: ClaimClient::new(&rings.claims),
            orders: OrderClient::new(rings.order.clone()),
            launcher,
            readers,
            peers: PeerClient::new(me, rings.peer.clone()),
            meter: rings.meter.clone(),
            ready: Arc::clone(&rings.ready),
            serve: rings.ready_tx.clone(),
            actions: Vec::new(),
            drained: None,
            news: VersionNews::new(),
        }
    }

    /// Runs until the daemon has drained.
    pub fn run(mut self) {
        while !self.is_drained() {
            match self.receive() {
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => self.tell(Event::Tick),
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.carry_out();
        }
        self.readers.stop();
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

    fn tell(&mut self, event: Event<'_>) {
        self.router
            .handle(event, self.clock.now(), &mut self.actions);
    }

    fn take(&mut self, message: DecideMessage) {
        match message {
            DecideMessage::Arrived(admitted) => self.arrive(*admitted),
            DecideMessage::CallerDisconnected(id) => {
                self.callers.remove(id);
                self.tell(Event::CallerDisconnected(id));
            }
            DecideMessage::Started(attempt) => self.start(attempt),
            DecideMessage::Finished(finish) => self.finish(&finish),
            DecideMessage::Answered(finish, answer) => {
                self.claims.offer(finish.attempt.id, answer);
                self.finish(&finish);
            }
            DecideMessage::Claim(news) => self.tell(Event::Claim(&news)),
            DecideMessage::Failed(failure) => self.fail(&failure),
            DecideMessage::Load(report) => {
                self.orders.report(&report);
                self.tell(Event::Load(&report));
            }
            DecideMessage::LoadSample(sample) => {
                if let Some(weights) = sample.weights {
                    self.orders.observe(&sample.server, weights);
                }
                self.tell(Event::LoadSample(&sample));
            }
            DecideMessage::Cache(run) => self.tell(Event::Cache(&run.view())),
            DecideMessage::Configured(fleet) => self.adopt(&fleet),
            DecideMessage::ConfigRejected(version) => {
                self.news.reject(version);
                self.measure(MetricEvent::Rejected(version));
            }
            DecideMessage::Query(question) => self.reply(question),
            DecideMessage::Peer(word) => self.heed(&word),
            DecideMessage::Leaving(list) => self.tell(Event::Leaving(&list)),
            DecideMessage::Drain(drained) => self.drain(drained),
        }
    }

    fn arrive(&mut self, admitted: Admitted) {
        let request = admitted.request.clone();
        let wait = self.clock.now().since(request.arrived);
        self.measure(MetricEvent::RingWait(wait));
        self.callers.insert(admitted);
        self.tell(Event::Arrived(&request));
    }

    fn start(&mut self, attempt: Attempt) {
        let measure = self.callers.start(attempt, self.clock.now());
        measure.into_iter().for_each(|m| self.measure(m));
        self.tell(Event::Started(attempt));
    }

    /// Takes in what other entries told, and gives the next round what is asked for here.
    fn heed(&mut self, word: &PeerUpdate) {
        self.tell(word.event());
        if let PeerUpdate::HeartbeatRound(_) = word {
            let me = self.peers.me().clone();
            self.peers
                .send_demand(self.router.demand(me, self.clock.now()));
        }
    }

    /// Answers a question. Whoever asked may be gone, or gets its answer at once.
    fn reply(&mut self, question: Query) {
        match question {
            Query::AwaitVersion(version, reply) => {
                let current = self.router.fleet().version;
                self.news.wait(version, reply, current);
            }
            Query::Status(reply) => drop(reply.try_send(self.status())),
            Query::Explain(request, reply) => {
                let options = self.router.explain(&request, self.clock.now());
                // The admitting duty found the service, so only a change in between loses it.
                let _ = reply.try_send(Ok((request, options.unwrap_or_default())));
            }
        }
    }

    fn status(&self) -> DaemonStatus {
        DaemonStatus {
            at: self.clock.now(),
            overview: self.router.overview(),
            rejected: self.news.rejected(),
            servers: self.router.servers().iter().cloned().collect(),
        }
    }

    fn adopt(&mut self, fleet: &Arc<Fleet>) {
        if fleet.version <= self.router.fleet().version {
            return;
        }
        self.tell(Event::Configured(fleet));
        self.readers.reconfigure(fleet);
        self.orders.adopt(fleet);
        self.measure(MetricEvent::Configured(fleet.version));
        self.ready.store(self.drained.is_none(), Ordering::Release);
        self.news.adopt(fleet.version);
        // Only the first one finds a place; whoever waits needs no more.
        let _ = self.serve.try_send(());
        log::info!(step = "configure", version:% = fleet.version; "a configuration is in force");
    }

    fn finish(&mut self, finish: &Finish) {
        let measure = self.callers.finish(finish, self.clock.now());
        measure.into_iter().for_each(|m| self.measure(m));
        self.tell(Event::Finished(finish));
    }

    fn fail(&mut self, failure: &Failure) {
        let id = failure.attempt.id;
        let caller = self.callers.get_mut(id);
        let peer = caller.as_ref().map_or("", |c| c.peer());
        log::warn!(request:% = id, step = "relay", peer = peer, kind:? = failure.kind; "a try failed");
        self.tell(Event::Failed(failure));
    }

    fn drain(&mut self, drained: Option<Sender<()>>) {
        self.ready.store(false, Ordering::Release);
        self.drained = drained;
        self.tell(Event::Draining);
    }

    fn carry_out(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        let mut unplaced = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Dispatch(order) => self.dispatch(order),
                Action::Refuse(id, refusal) => {
                    log::info!(request:% = id, step = "decide", code = refusal.reason.code(); "refused");
                    self.measure(MetricEvent::Refused(refusal.reason));
                    self.callers.refuse(id, refusal);
                }
                Action::ReplayAnswer(id, answer) => self.callers.repeat(id, answer),
                Action::Claim(call) => unplaced.extend(self.claims.place(call)),
                Action::Cancel(attempt) => {
                    self.launcher.cancel(attempt);
                    self.measure(MetricEvent::Cancelled(attempt));
                }
                Action::BroadcastServer(news) => self.peers.send_server(news),
                Action::BroadcastStrike(strike) => self.peers.send_strike(strike),
                Action::Resync(server) => self.readers.resync(&server),
            }
        }
        self.actions = actions;
        for news in &unplaced {
            self.tell(Event::Claim(news));
        }
        if !self.actions.is_empty() {
            self.carry_out();
        }
    }

    fn dispatch(&mut self, order: Dispatch) {
        let id = order.attempt.id;
        let Some(caller) = self.callers.send(&order) else {
            return;
        };
        let now = self.clock.now();
        log::info!(
            request:% = id, step = "dispatch", attempt = order.attempt.number,
            waited = caller.since(now), expected:? = order.expected_ttft,
            peer:% = order.server, weights:% = order.weights, prompt = caller.prompt.get(),
            prefix:% = caller.prefix, cached = order.cached.get(), position:% = order.position,
            source:? = order.fetch_from; "sent"
        );
        let attempt = order.attempt;
        let measure = caller.sent(attempt, now);
        let chunks = self.launcher.launch(order, Arc::clone(&caller.upstream));
        let started = RequestUpdate::AttemptStarted {
            attempt,
            streamed: caller.upstream.streamed,
            chunks,
        };
        let _ = caller.updates.try_send(started);
        self.measure(measure);
    }

    /// Passes a measure on. One that finds the ring full is lost: decisions do not wait.
    fn measure(&self, measure: MetricEvent) {
        let _ = self.meter.try_send(measure);
    }
}

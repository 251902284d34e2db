//! The ordering duty.

use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;
use flume::{Receiver, RecvTimeoutError, Sender};

use super::{LeaseCalls, LoadChecks, OrderAnswer, OrderLink, OrderMessage};
use crate::claim::Sweeper;
use crate::clock::Clock;
use crate::peer::PeerMessage;

/// The ordering duty: contends for the lease and, while it holds it, sends orders and deletes
/// old claims.
#[derive(Debug)]
pub struct Orderer<A, L> {
    calls: LeaseCalls<A>,
    link: L,
    messages: Receiver<OrderMessage>,
    clock: Clock,
    lease: Lease,
    planner: OrderPlanner,
    sweeper: Option<Sweeper<A>>,
    chosen: bool,
    wake: Timestamp,
    peers: Option<Sender<PeerMessage>>,
    time: Duration,
    checks: LoadChecks,
    announced: Vec<(Timestamp, LoadOrder)>,
}

/// The time between telling of a load and ordering it: peers hear of it, and what waits in the
/// server begins meanwhile.
const ANNOUNCE_TIME: Duration = Duration::from_millis(300);
/// The wake-up of an entry that only waits for messages.
const IDLE: Timestamp = Timestamp::MAX;

impl<A: ObjectApi, L: OrderLink> Orderer<A, L> {
    /// Creates the duty of an entry with its side of the lease.
    pub fn new(
        api: A,
        link: L,
        messages: Receiver<OrderMessage>,
        clock: Clock,
        lease: Lease,
        config: OrderConfig,
    ) -> Self {
        Self {
            sweeper: None,
            calls: LeaseCalls::new(api),
            link,
            messages,
            clock,
            lease,
            planner: OrderPlanner::new(config),
            chosen: true,
            wake: Timestamp::ZERO,
            peers: None,
            time: config.slot_timeout,
            checks: LoadChecks::new(),
            announced: Vec::new(),
        }
    }

    /// Lets the holder of the lease delete old claims. `seed` spreads the sweeps.
    #[must_use]
    pub fn with_sweeps(mut self, api: A, seed: u64) -> Self {
        self.sweeper = Some(Sweeper::new(api, seed));
        self
    }

    /// Tells every peer of a load before it is ordered.
    #[must_use]
    pub fn with_peers(mut self, peers: Sender<PeerMessage>) -> Self {
        self.peers = Some(peers);
        self
    }

    /// Runs until every sender of messages is gone.
    pub fn run(mut self) {
        loop {
            match self.receive() {
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.drive();
        }
    }

    fn receive(&self) -> Result<OrderMessage, RecvTimeoutError> {
        if self.wake == IDLE {
            return self
                .messages
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected);
        }
        self.messages.recv_deadline(self.clock.instant(self.wake))
    }

    fn take(&mut self, message: OrderMessage) {
        match message {
            OrderMessage::Configured(fleet) => self.planner.adopt(&fleet),
            OrderMessage::Report(report) => self.planner.apply_report(&report, self.clock.now()),
            OrderMessage::WeightsObserved(server, weights) => {
                self.planner.observe_weights(&server, weights)
            }
            OrderMessage::Selected(chosen) => self.chosen = chosen,
        }
    }

    /// Renews the lease and sends what is to be sent. An entry that is no longer chosen lets its
    /// lease lapse, and gives orders until then.
    fn drive(&mut self) {
        self.wake = IDLE;
        self.check();
        self.renew();
        self.send_announced();
        while self.lease.fencing_number(self.clock.now(), false).is_some() {
            let Some(order) = self.planner.next_order(self.clock.now()) else {
                break;
            };
            if self.peers.is_some() {
                self.announce(order);
            } else {
                self.send(&order);
                self.renew();
            }
        }
        let now = self.clock.now();
        let planned = self.planner.next_wakeup(now);
        let swept = self.sweep(now);
        let checked = self.checks.next_wakeup();
        let announced = self.announced.iter().map(|(at, _)| *at).min();
        let wakes = [planned, swept, checked, announced].into_iter().flatten();
        self.wake = wakes.fold(self.wake, Timestamp::min);
    }

    /// Deletes an old claim if one is due. Returns when the next call is due, for the holder.
    fn sweep(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.lease.fencing_number(now, false)?;
        let sweeper = self.sweeper.as_mut()?;
        sweeper.step(now, Clock::unix_seconds());
        Some(sweeper.due())
    }

    fn renew(&mut self) {
        while self.chosen {
            let reply = match self.lease.next(self.clock.now()) {
                LeaseStep::Wait(until) => {
                    self.wake = until;
                    return;
                }
                LeaseStep::Read => self.calls.read(),
                LeaseStep::Write(expected, record) => self.calls.write(expected, &record),
            };
            self.lease.handle_reply(&reply, self.clock.now());
        }
    }

    /// Asks the servers that load whether they have ended, and lets peers know.
    fn check(&mut self) {
        if self.peers.is_none() {
            return;
        }
        while let Some(order) = self.checks.due(self.clock.now()) {
            let weights = self.link.weights(&order);
            let Some(weights) = weights.filter(|w| *w >= order.weights) else {
                continue;
            };
            log::info!(step = "order", peer:% = order.server, weights:% = weights; "loaded");
            self.checks.end(&order);
            self.planner.observe_weights(&order.server, weights);
            self.tell(&order, Duration::ZERO);
        }
    }

    /// Tells every peer of a load, and keeps its order until what waits in the server has
    /// begun: an order rejects all that has not.
    fn announce(&mut self, order: LoadOrder) {
        self.tell(&order, self.time);
        self.announced
            .push((self.clock.now() + ANNOUNCE_TIME, order));
    }

    /// Sends the orders that were announced long enough ago.
    fn send_announced(&mut self) {
        let now = self.clock.now();
        let all = std::mem::take(&mut self.announced);
        let (due, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.announced = rest;
        for (_, order) in due {
            self.send(&order);
            self.renew();
        }
    }

    /// Tells every peer how long a load still takes.
    fn tell(&self, order: &LoadOrder, time: Duration) {
        let Some(peers) = &self.peers else {
            return;
        };
        let loading = LoadNotice {
            server: order.server.clone(),
            weights: order.weights,
            duration: time,
        };
        // The peer duty ends only with the process, and then nothing is ordered any more.
        let _ = peers.send(PeerMessage::Loading(loading));
    }

    fn send(&mut self, order: &LoadOrder) {
        // Looked at once more: this thread may have been paused since the order was planned.
        let Some(number) = self.lease.fencing_number(self.clock.now(), order.fenced) else {
            self.planner.record_failure(&order.server, self.clock.now());
            return;
        };
        let answer = self.link.send(order, number);
        log::info!(step = "order", peer:% = order.server, weights:% = order.weights, number:% = number, answer:? = answer; "ordered");
        match answer {
            OrderAnswer::Taken => self.checks.push(order.clone(), self.clock.now()),
            OrderAnswer::Fenced | OrderAnswer::Failed => {
                self.planner.record_failure(&order.server, self.clock.now());
            }
        }
        if answer == OrderAnswer::Fenced {
            self.lease.step_down(self.clock.now());
        }
    }
}

//! The thread that contends for the lease, sends load orders and checks whether loads completed.

use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;
use flume::{Receiver, RecvError, Sender};
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep_until};

use super::{LeaseStore, LoadChecks, OrderCalls, OrderLink, OrderMessage, OrderReply};
use crate::claim::Sweeper;
use crate::clock::Clock;
use crate::peer::PeerMessage;

/// The ordering duty: contends for the lease and, while it holds the lease, sends load orders and
/// deletes old claims.
#[derive(Debug)]
pub struct Orderer<A, L> {
    store: LeaseStore<A>,
    calls: OrderCalls<L>,
    messages: Receiver<OrderMessage>,
    clock: Clock,
    lease: Lease,
    planner: OrderPlanner,
    sweeper: Option<Sweeper<A>>,
    selected: bool,
    next_wakeup: Timestamp,
    peers: Option<Sender<PeerMessage>>,
    load_time: Duration,
    checks: LoadChecks,
    /// The loads that were announced, each with the time at which its order is due.
    announced: Vec<(Timestamp, LoadOrder)>,
}

/// The delay from the announcement of a load to its order. During the delay peers receive the
/// announcement, and the requests that are queued in the server start.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(300);
/// The longest wait for a message.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// The wake-up time if there is nothing to do until the next message.
const IDLE: Timestamp = Timestamp::MAX;

impl<A: ObjectApi, L: OrderLink> Orderer<A, L> {
    /// Creates the duty of an entry instance that contends for `lease`.
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
            store: LeaseStore::new(api),
            calls: OrderCalls::new(link),
            messages,
            clock,
            lease,
            planner: OrderPlanner::new(config),
            selected: true,
            next_wakeup: Timestamp::ZERO,
            peers: None,
            load_time: config.slot_timeout,
            checks: LoadChecks::new(),
            announced: Vec::new(),
        }
    }

    /// Enables the deletion of old claims while the lease is held. `seed` selects the shard that is
    /// swept first.
    #[must_use]
    pub fn with_sweeps(mut self, api: A, seed: u64) -> Self {
        self.sweeper = Some(Sweeper::new(api, seed));
        self
    }

    /// Enables the announcement of each load to all peers before it is ordered.
    #[must_use]
    pub fn with_peers(mut self, peers: Sender<PeerMessage>) -> Self {
        self.peers = Some(peers);
        self
    }

    /// Runs until every sender of messages is gone and the calls to servers have ended.
    pub fn run(mut self, runtime: &Runtime) {
        runtime.block_on(async {
            while self.handle_next().await.is_ok() {
                self.advance();
            }
            while !self.calls.is_empty() {
                let reply = self.calls.next().await;
                self.handle_reply(reply);
            }
        });
    }

    /// Waits for a message, a reply or the next wake-up, and handles what has arrived.
    async fn handle_next(&mut self) -> Result<(), RecvError> {
        // The wake-up of an idle duty is too far in the future for a timer.
        let wakeup = self.next_wakeup.min(self.clock.now() + WAIT_MAX);
        let wakeup = Instant::from_std(self.clock.instant(wakeup));
        tokio::select! {
            message = self.messages.recv_async() => {
                self.handle_message(message?);
                let waiting: Vec<_> = self.messages.drain().collect();
                waiting.into_iter().for_each(|m| self.handle_message(m));
            }
            reply = self.calls.next() => self.handle_reply(reply),
            () = sleep_until(wakeup) => {}
        }
        Ok(())
    }

    fn handle_message(&mut self, message: OrderMessage) {
        match message {
            OrderMessage::Configured(fleet) => {
                self.planner.adopt(&fleet);
                for server in fleet.servers.values() {
                    if let Some(weights) = server.listed.and_then(|l| l.weights) {
                        self.complete_check(&server.id, weights);
                    }
                }
            }
            OrderMessage::Report(report) => {
                self.planner.apply_report(&report, self.clock.now());
                self.complete_check(&report.server, report.weights);
            }
            OrderMessage::WeightsObserved(server, weights) => {
                self.planner.observe_weights(&server, weights);
                self.complete_check(&server, weights);
            }
            OrderMessage::Held(server, until) => {
                self.planner.hold(&server, until, self.clock.now());
                self.checks.hold(&server, until);
            }
            OrderMessage::Selected(selected) => self.selected = selected,
        }
    }

    /// Ends the checks of a server that has told of the weights that it was to load.
    fn complete_check(&mut self, server: &ServerId, weights: WeightsVersion) {
        if let Some(order) = self.checks.complete(server, weights) {
            log::info!(step = "order", peer:% = server, weights:% = weights; "loaded");
            self.notify_peers(&order, Duration::ZERO);
        }
    }

    /// Renews the lease and sends the orders that are due. An entry instance that is no longer
    /// selected lets its lease expire, and sends orders until then.
    fn advance(&mut self) {
        self.next_wakeup = IDLE;
        self.check_loads();
        self.renew_lease();
        self.send_announced();
        while self.lease.fencing_number(self.clock.now(), false).is_some() {
            let Some(order) = self.planner.next_order(self.clock.now()) else {
                break;
            };
            // An order that got no answer was announced when it was first sent.
            if self.peers.is_some() && !order.repeated {
                self.announce(order);
            } else {
                self.send(order);
            }
        }
        let now = self.clock.now();
        let planned = self.planner.next_wakeup(now);
        let swept = self.sweep(now);
        let checked = self.checks.next_wakeup();
        let announced = self.announced.iter().map(|(at, _)| *at).min();
        let wakeups = [planned, swept, checked, announced].into_iter().flatten();
        self.next_wakeup = wakeups.fold(self.next_wakeup, Timestamp::min);
    }

    /// Makes the sweeper's next call if it is due. Returns the time of the one after it, or `None`
    /// if this entry instance does not hold the lease.
    fn sweep(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.lease.fencing_number(now, false)?;
        let sweeper = self.sweeper.as_mut()?;
        sweeper.step(now, Clock::unix_seconds());
        Some(sweeper.due())
    }

    fn renew_lease(&mut self) {
        while self.selected {
            let reply = match self.lease.next(self.clock.now()) {
                LeaseStep::Wait(until) => {
                    self.next_wakeup = until;
                    return;
                }
                LeaseStep::Read => self.store.read(),
                LeaseStep::Write(expected, record) => self.store.write(expected, &record),
            };
            let now = self.clock.now();
            if self.lease.enter_era(self.store.era(), now) {
                log::warn!(step = "lease", era:? = self.store.era(); "what is known of the lease is void");
            }
            self.lease.handle_reply(&reply, now);
        }
    }

    /// Asks the servers whose checks are due whether their loads have completed.
    fn check_loads(&mut self) {
        if self.peers.is_none() {
            return;
        }
        while let Some(order) = self.checks.next_due(self.clock.now()) {
            self.calls.check(order);
        }
    }

    fn handle_reply(&mut self, reply: OrderReply) {
        match reply {
            OrderReply::Ordered(order, answer) => self.handle_answer(order, answer),
            OrderReply::Checked(order, Some(status)) => self.handle_status(&order, &status),
            OrderReply::Checked(_, None) => {}
        }
    }

    fn handle_answer(&mut self, order: LoadOrder, answer: OrderAnswer) {
        let now = self.clock.now();
        log::info!(
            step = "order", peer:% = order.server, weights:% = order.weights, accepted = order.accepted,
            repeated = order.repeated, answer:? = answer; "an order was answered"
        );
        self.planner.record_answer(&order, answer, now);
        match answer {
            OrderAnswer::Taken => {
                if order.repeated {
                    self.notify_peers(&order, self.load_time);
                }
                self.checks.push(order, now);
            }
            OrderAnswer::Held | OrderAnswer::Conflict => self.checks.push_due(order, now),
            OrderAnswer::Failed => self.withdraw(&order),
            // The answer to the order's repetition is awaited once before others use the server again.
            OrderAnswer::Unanswered if order.repeated => self.withdraw(&order),
            OrderAnswer::Unanswered => {}
            OrderAnswer::Fenced => {
                self.withdraw(&order);
                self.lease.step_down(now);
                self.renew_lease();
            }
        }
    }

    fn handle_status(&mut self, order: &LoadOrder, status: &OrderStatus) {
        let progress = self.planner.record_status(order, status, self.clock.now());
        match progress {
            LoadProgress::Loading => return,
            LoadProgress::Loaded => {
                log::info!(step = "order", peer:% = order.server, weights:% = status.weights; "loaded");
                self.notify_peers(order, Duration::ZERO);
            }
            LoadProgress::Idle => {
                log::warn!(
                    step = "order", peer:% = order.server, weights:% = status.weights,
                    wanted:% = order.weights, accepted = status.accepted; "the server does not load"
                );
                self.withdraw(order);
            }
        }
        self.checks.remove(order);
    }

    /// Announces a load to all peers. When the order arrives, the server rejects the requests that
    /// have not started, so the order is delayed until the queued requests have started.
    fn announce(&mut self, order: LoadOrder) {
        self.notify_peers(&order, self.load_time);
        self.announced
            .push((self.clock.now() + ANNOUNCE_DELAY, order));
    }

    /// Sends the orders whose announcement delay has passed.
    fn send_announced(&mut self) {
        let now = self.clock.now();
        let all = std::mem::take(&mut self.announced);
        let (due, remaining): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.announced = remaining;
        due.into_iter().for_each(|(_, order)| self.send(order));
    }

    /// Notifies all peers of a load and the time that it still takes.
    fn notify_peers(&self, order: &LoadOrder, remaining: Duration) {
        self.notify(LoadNotice {
            server: order.server.clone(),
            weights: order.weights,
            duration: remaining,
        });
    }

    /// Notifies all peers that a server does not load for now, so that they use it again.
    fn withdraw(&self, order: &LoadOrder) {
        self.notify(LoadNotice::withdrawn(order.server.clone()));
    }

    fn notify(&self, notice: LoadNotice) {
        if let Some(peers) = &self.peers {
            // The peer duty ends only with the process, when no further order is sent.
            let _ = peers.send(PeerMessage::Loading(notice));
        }
    }

    fn send(&mut self, order: LoadOrder) {
        // The lease is checked again, since this thread may have been paused since the order was
        // planned.
        match self.lease.fencing_number(self.clock.now(), order.fenced) {
            Some(number) => {
                log::info!(step = "order", peer:% = order.server, weights:% = order.weights, number:% = number; "ordered");
                self.calls.send(order, number);
            }
            None => {
                self.planner.record_failure(&order.server, self.clock.now());
                self.withdraw(&order);
            }
        }
    }
}

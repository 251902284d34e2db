//! The thread that contends for the lease, sends load orders and checks whether loads completed.

use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;
use flume::{Receiver, RecvError, Sender};
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep_until};

use super::{LeaseStore, LoadChecks, OrderCalls, OrderLink, OrderMessage};
use crate::claim::Sweeper;
use crate::clock::Clock;
use crate::memory::CallMemory;
use crate::peer::PeerMessage;

/// The ordering duty: contends for the lease and, while it holds the lease, sends load orders and
/// deletes old claims.
#[derive(Debug)]
pub struct Orderer<A, L> {
    store: LeaseStore<A>,
    pub(super) calls: OrderCalls<L>,
    messages: Receiver<OrderMessage>,
    pub(super) clock: Clock,
    pub(super) lease: Lease,
    pub(super) planner: OrderPlanner,
    sweeper: Option<Sweeper<A>>,
    selected: bool,
    next_wakeup: Timestamp,
    pub(super) peers: Option<Sender<PeerMessage>>,
    pub(super) load_time: Duration,
    pub(super) checks: LoadChecks,
    /// The loads that were announced, each with the time at which its order is due.
    pub(super) announced: Vec<(Timestamp, LoadOrder)>,
}

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

    /// Sets the memory that the answers of servers take.
    #[must_use]
    pub fn with_memory(mut self, memory: CallMemory) -> Self {
        self.calls.set_memory(memory);
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
            self.report_loaded(&order, weights);
        }
    }

    /// Renews the lease and sends the orders that are due. An entry instance that is no longer
    /// selected lets its lease expire, and sends orders until then.
    fn advance(&mut self) {
        self.next_wakeup = IDLE;
        let checked = self.check_loads();
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

    pub(super) fn renew_lease(&mut self) {
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

    /// Asks the servers whose checks are due whether their loads have completed. Returns the time of the
    /// next check. Without peers to notify, the servers' own reports suffice.
    fn check_loads(&mut self) -> Option<Timestamp> {
        self.peers.as_ref()?;
        while let Some(order) = self.checks.next_due(self.clock.now()) {
            self.calls.check(order);
        }
        self.checks.next_wakeup()
    }
}

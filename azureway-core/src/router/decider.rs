//! The router itself.

use super::{
    Flight, Flights, Intake, Placement, Plan, Queues, Retries, Retry, RouterConfig, Verdict,
};
use crate::cache::{CacheIndex, CacheUpdate};
use crate::claim::{ClaimBook, ClaimNews, ClaimVerdict};
use crate::domain::{
    Attempt, PoolId, Refusal, RefusalReason, Request, RequestId, ServerId, Timestamp,
};
use crate::event::{Action, Dispatch, Event, Failure, Finish};
use crate::fleet::{Fleet, ServerTable};
use crate::retry::RetryBudget;
use crate::route::Policy;

/// The decisions of one entry instance. Events and the time go in, actions come out.
#[derive(Debug)]
pub struct Router<P> {
    config: RouterConfig,
    policy: P,
    fleet: Fleet,
    servers: ServerTable,
    index: CacheIndex,
    queues: Queues,
    flights: Flights,
    claims: ClaimBook,
    retries: Retries,
    budget: RetryBudget,
    draining: bool,
    peers: u32,
    seen: Timestamp,
}

impl<P: Policy> Router<P> {
    /// Creates a router that knows no configuration yet.
    pub fn new(config: RouterConfig, policy: P) -> Self {
        Self {
            budget: RetryBudget::new(config.retries),
            retries: Retries::new(),
            config,
            policy,
            fleet: Fleet::new(),
            servers: ServerTable::new(),
            index: CacheIndex::new(),
            queues: Queues::new(),
            flights: Flights::new(),
            claims: ClaimBook::new(),
            draining: false,
            peers: 1,
            seen: Timestamp::ZERO,
        }
    }

    /// Takes in an event and appends what is to be done about it.
    pub fn handle(&mut self, event: Event<'_>, now: Timestamp, out: &mut Vec<Action>) {
        self.seen = now;
        let start = out.len();
        match event {
            Event::Arrived(request) => self.arrive(request, now, out),
            Event::HungUp(id) => self.hang_up(id, out),
            Event::Started(attempt) => self.start(attempt),
            Event::Finished(finish) => self.finish(finish, out),
            Event::Failed(failure) => self.fail(failure, now, out),
            Event::Claim(news) => self.claimed(news, now, out),
            Event::Cache(update) => self.hear(update, out),
            Event::Load(report) => drop(self.servers.report(report)),
            Event::Configured(fleet) => self.configure(fleet),
            Event::Peers(count) => self.peers = count.max(1),
            Event::Draining => self.draining = true,
            Event::Tick => {}
        }
        self.expire(now, out);
        self.try_again(now, out);
        self.pump(now, out);
        self.claims.follow(start, out);
    }

    /// Returns when the router wants to be told of the time at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let limits = [self.queues.earliest(), self.retries.earliest()];
        let limit = limits.into_iter().flatten().min();
        // A server that is tried again, or a refilled budget, can help what waits.
        let trial = limit.and_then(|_| self.servers.next_trial(self.seen));
        let times = [limit, trial, self.next_retry(), self.claims.earliest()];
        times.into_iter().flatten().min()
    }

    /// Returns the number of requests that wait, are in flight or have a claim to settle.
    pub fn active(&self) -> usize {
        let claims = self.claims.pending();
        self.queues.len() + self.retries.len() + self.flights.len() + claims
    }

    /// Returns the configuration in force.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of live entry instances of the zone, with this one.
    pub const fn peers(&self) -> u32 {
        self.peers
    }

    /// Returns what is known of the backend servers.
    pub const fn servers(&self) -> &ServerTable {
        &self.servers
    }

    fn arrive(&mut self, request: &Request, now: Timestamp, out: &mut Vec<Action>) {
        let intake = Intake {
            fleet: &self.fleet,
            queues: &self.queues,
            bound: self.config.queue,
            draining: self.draining,
        };
        let action = match intake.check(request, now) {
            Err(refusal) => Action::Refuse(request.id, refusal),
            Ok((service, _)) if self.claims.covers(request, service, &self.servers) => {
                return self.enqueue(request, out);
            }
            Ok(_) => self.claims.ask(request, now),
        };
        out.push(action);
    }

    /// Lets a request wait for a server.
    fn enqueue(&mut self, request: &Request, out: &mut Vec<Action>) {
        let service = self.fleet.services.get(&request.service);
        let account = self.fleet.accounts.get(&request.account);
        if let (Some(service), Some(account)) = (service, account) {
            self.budget.earn();
            self.queues
                .push(service.pool.clone(), request.clone(), account.weight);
        } else {
            let detail = "the configuration no longer has the service or the client account";
            let refusal = Refusal::not_run(RefusalReason::UnknownService, detail);
            out.push(Action::Refuse(request.id, refusal));
        }
    }

    fn claimed(&mut self, news: &ClaimNews, now: Timestamp, out: &mut Vec<Action>) {
        match self.claims.hear(news, now, out) {
            ClaimVerdict::Go(request) => self.enqueue(&request, out),
            ClaimVerdict::Repeat(answer) => out.push(Action::Repeat(news.id(), answer)),
            ClaimVerdict::Refuse(refusal) => out.push(Action::Refuse(news.id(), refusal)),
            ClaimVerdict::Nothing => {}
        }
    }

    fn hang_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(flight) = self.flights.remove(id) {
            // A whole answer still comes from the server, and is kept for the caller's return.
            let whole = self.fleet.is_plain(&flight.request.service);
            self.claims.hang_up(id, whole);
            self.servers.release(&flight.server, flight.owed());
            return out.push(Action::Cancel(flight.attempt));
        }
        if self.retries.remove(id).is_none() {
            self.queues.remove(id);
        }
        self.claims.withdraw(id, out);
    }

    fn start(&mut self, attempt: Attempt) {
        if let Some(flight) = self.flights.current(attempt) {
            self.servers.settle(&flight.server, flight.owed());
            flight.started = true;
        }
    }

    fn finish(&mut self, finish: &Finish, out: &mut Vec<Action>) {
        self.claims.finish(finish.attempt, out);
        if let Some(flight) = self.flights.take(finish.attempt) {
            self.servers.release(&flight.server, flight.owed());
            self.servers.clear(&flight.server);
        }
    }

    fn fail(&mut self, failure: &Failure, now: Timestamp, out: &mut Vec<Action>) {
        self.claims.fail(failure, out);
        let Some(flight) = self.flights.take(failure.attempt) else {
            return;
        };
        self.servers.release(&flight.server, flight.owed());
        self.servers.blame(&flight.server, failure.kind, now);
        match Verdict::new(&flight, failure, self.config.tries, now) {
            Verdict::Retry => self.retries.push(Retry::new(flight, failure, now)),
            Verdict::Refuse(refusal) => out.push(Action::Refuse(failure.attempt.id, refusal)),
        }
    }

    fn hear(&mut self, update: &CacheUpdate<'_>, out: &mut Vec<Action>) {
        if self.index.update(update) {
            out.push(Action::Resync(update.server.clone()));
        }
    }

    fn configure(&mut self, fleet: &Fleet) {
        // Versions only grow, so that a slow read or a late peer cannot bring an old one back.
        if fleet.version <= self.fleet.version {
            return;
        }
        self.fleet = fleet.clone();
        self.servers.adopt(fleet);
        self.queues.set_floor(fleet.rules.floor);
    }

    fn expire(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.claims.expire(now, out);
        for request in self.queues.expire(now) {
            out.push(Action::Refuse(request.id, Verdict::late()));
        }
        for retry in self.retries.expire(now) {
            out.push(Action::Refuse(retry.request.id, retry.give_up()));
        }
    }

    /// Returns when an empty retry budget has a retry again, if one waits for it.
    fn next_retry(&self) -> Option<Timestamp> {
        self.budget
            .next_refill()
            .filter(|_| !self.retries.is_empty())
    }

    /// Tries again what waits for it, as far as the budget and the servers allow.
    fn try_again(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.budget.refill(now);
        for retry in self.retries.take() {
            let failed = Some(&retry.failed);
            let sent = self.budget.has_retry()
                && self.dispatch(&retry.request, retry.plan, failed, now, out);
            if sent {
                self.budget.spend();
            } else {
                self.retries.push(retry);
            }
        }
    }

    /// Sends requests that wait for as long as there is a server for the next one.
    fn pump(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for pool in self.queues.pools() {
            while let Some(queued) = self.queues.pop(&pool) {
                let plan = Plan::first(queued.request.id);
                if !self.dispatch(&queued.request, plan, None, now, out) {
                    self.queues.restore(&pool, queued);
                    break;
                }
            }
        }
    }

    /// Sends a request to the best server, but to the one that `failed` it only if there is no
    /// other. Returns whether there was one.
    fn dispatch(
        &mut self,
        request: &Request,
        plan: Plan,
        failed: Option<&ServerId>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(service) = self.fleet.services.get(&request.service) else {
            return false;
        };
        if !self.claims.covers(request, service, &self.servers) {
            return false;
        }
        let placement = Placement {
            servers: &self.servers,
            index: &self.index,
            zone: &self.config.zone,
            link: self.config.link,
            failed,
        };
        let Some(best) = placement.choose(&mut self.policy, request, service, now) else {
            return false;
        };
        let order = plan.order(request, &best);
        let pool = service.pool.clone();
        self.take_off(request, pool, &order, plan.untouched);
        out.push(Action::Dispatch(order));
        true
    }

    /// Notes that a request is in flight.
    fn take_off(&mut self, request: &Request, pool: PoolId, order: &Dispatch, untouched: bool) {
        let flight = Flight::new(request, pool, order, untouched);
        self.servers.begin(&flight.server, flight.owed());
        self.flights.insert(flight);
    }
}

//! The router itself.

use super::{
    Dispatcher, InFlight, Intake, PlacementRequest, Queues, Retries, Retry, RouterConfig, Verdict,
};
use crate::admit::{AccountLimits, BlockedClasses, QueuedRequest};
use crate::claim::{ClaimDecision, ClaimOutcome, ClaimTable};
use crate::domain::{Attempt, Refusal, RefusalReason, Request, RequestId, Timestamp};
use crate::event::{Action, Event, Failure, Finish};
use crate::fleet::Fleet;
use crate::retry::RetryBudgets;
use crate::route::Policy;
use crate::tally::{Outcome, OutcomeTally};

/// The decisions of one entry instance. Events and the time go in, actions come out.
#[derive(Debug)]
pub struct Router<P> {
    pub(super) config: RouterConfig,
    pub(super) fleet: Fleet,
    pub(super) sender: Dispatcher<P>,
    pub(super) limits: AccountLimits,
    pub(super) queues: Queues,
    pub(super) claims: ClaimTable,
    pub(super) retries: Retries,
    pub(super) budgets: RetryBudgets,
    pub(super) tally: OutcomeTally,
    pub(super) draining: bool,
    pub(super) seen: Timestamp,
}

impl<P: Policy> Router<P> {
    /// Creates a router that knows no configuration yet.
    pub fn new(config: RouterConfig, policy: P) -> Self {
        Self {
            budgets: RetryBudgets::new(config.retry_percent, config.retry_slack),
            retries: Retries::new(),
            config,
            fleet: Fleet::new(),
            sender: Dispatcher::new(policy),
            limits: AccountLimits::new(),
            queues: Queues::new(),
            claims: ClaimTable::new(),
            tally: OutcomeTally::new(),
            draining: false,
            seen: Timestamp::ZERO,
        }
    }

    /// Takes in an event and appends what is to be done about it.
    pub fn handle(&mut self, event: Event<'_>, now: Timestamp, out: &mut Vec<Action>) {
        self.seen = now;
        let start = out.len();
        match event {
            Event::Arrived(request) => self.arrive(request, now, out),
            Event::CallerDisconnected(id) => self.hang_up(id, now, out),
            Event::Started(attempt) => self.start(attempt, now),
            Event::Finished(finish) => self.finish(finish, now, out),
            Event::Failed(failure) => self.fail(failure, now, out),
            Event::Claim(news) => self.claimed(news, now, out),
            Event::Cache(update) => self.hear(update, out),
            Event::Load(report) => self.report(report, now, out),
            Event::LoadSample(sample) => self.sample(sample, now),
            Event::Configured(fleet) => self.configure(fleet, now),
            Event::ZoneEntries(_) if self.config.shared_servers => {}
            Event::ZoneEntries(count) => self.sender.servers_mut().set_entries(count),
            Event::ListedEntries(count) => self.list(count),
            Event::Demand(demand) => self.limits.share_mut().record(demand, now),
            Event::Server(news) => self.sender.servers_mut().apply_update(news),
            Event::Loading(loading) => {
                self.sender.load(loading, now);
                self.queues.mark_all();
            }
            Event::Strike(strike) => self.struck(strike, now, out),
            Event::Leaving(list) => {
                self.sender.servers_mut().set_listed_leaving(list);
                self.queues.mark_all();
            }
            Event::Draining => self.draining = true,
            Event::Tick => self.queues.mark_all(),
        }
        self.expire(now, out);
        self.try_again(now, out);
        self.pump(now, out);
        self.tell_strikes(out);
        self.claims.apply_actions(start, out);
        self.tally.apply_actions(&out[start..], now);
    }

    fn arrive(&mut self, request: &Request, now: Timestamp, out: &mut Vec<Action>) {
        self.tally.open(request);
        let mut intake = Intake {
            fleet: &self.fleet,
            queues: &self.queues,
            limits: &mut self.limits,
            guard: self.sender.guard(),
            bound: self.config.queue_limit,
            draining: self.draining,
        };
        let servers = self.sender.servers();
        let action = match intake.check(request, now) {
            Err(refusal) => Action::Refuse(request.id, refusal),
            Ok((service, _)) if self.claims.permits(request, service, servers) => {
                return self.enqueue(request, now, out);
            }
            Ok(_) => self.claims.request(request, now),
        };
        out.push(action);
    }

    /// Lets a request wait for a server.
    fn enqueue(&mut self, request: &Request, now: Timestamp, out: &mut Vec<Action>) {
        let service = self.fleet.services.get(&request.service);
        let account = self.fleet.accounts.get(&request.account);
        if let (Some(service), Some(account)) = (service, account) {
            self.budgets.for_pool(&service.pool, now).deposit();
            let queued = QueuedRequest::new(request.clone(), account.weight);
            self.queues.push(service.pool.clone(), queued, now);
        } else {
            let detail = "the configuration no longer has the service or the client account";
            let refusal = Refusal::not_run(RefusalReason::UnknownService, detail);
            out.push(Action::Refuse(request.id, refusal));
        }
    }

    fn claimed(&mut self, news: &ClaimOutcome, now: Timestamp, out: &mut Vec<Action>) {
        match self.claims.handle_outcome(news, now, out) {
            ClaimDecision::Proceed(request) => self.enqueue(&request, now, out),
            ClaimDecision::ReplayAnswer(answer) => {
                out.push(Action::ReplayAnswer(news.id(), answer))
            }
            ClaimDecision::Refuse(refusal) => out.push(Action::Refuse(news.id(), refusal)),
            ClaimDecision::Nothing => {}
        }
    }

    fn hang_up(&mut self, id: RequestId, now: Timestamp, out: &mut Vec<Action>) {
        self.tally.close(id, Outcome::Abandoned);
        if let Some(flight) = self.sender.remove(id, now) {
            // A whole answer still comes from the server, and is kept for the caller's return.
            let whole = self.fleet.is_plain(&flight.request.service);
            self.claims.caller_disconnected(id, whole);
            self.queues.mark(&flight.pool);
            return out.push(Action::Cancel(flight.attempt));
        }
        if self.retries.remove(id).is_none() {
            self.queues.remove(id);
        }
        self.claims.cancel(id, out);
    }

    fn start(&mut self, attempt: Attempt, now: Timestamp) {
        if self.sender.start(attempt) {
            self.tally.start(attempt.id, now);
        }
    }

    fn finish(&mut self, finish: &Finish, now: Timestamp, out: &mut Vec<Action>) {
        self.claims.finish(finish.attempt, out);
        if let Some(flight) = self.sender.finish(finish.attempt, now) {
            self.tally.finish(finish.attempt.id, now);
            self.queues.mark(&flight.pool);
        }
    }

    fn fail(&mut self, failure: &Failure, now: Timestamp, out: &mut Vec<Action>) {
        self.claims.fail(failure, out);
        let Some((flight, unknown)) = self.sender.fail(failure, now) else {
            return;
        };
        self.queues.mark(&flight.pool);
        if unknown {
            out.push(Action::Resync(flight.server.clone()));
        }
        match self.judge(&flight, failure, now, out) {
            Verdict::Retry => self.retries.push(Retry::new(flight, failure, now)),
            Verdict::Wait => self.wait(flight, now, out),
            Verdict::Refuse(refusal) => out.push(Action::Refuse(failure.attempt.id, refusal)),
        }
    }

    /// Lets a request that a server had no room for wait again.
    fn wait(&mut self, flight: InFlight, now: Timestamp, out: &mut Vec<Action>) {
        // Where all entries share the budget, what servers refuse counts in it too.
        if self.budgets.is_shared() && !self.budgets.for_pool(&flight.pool, now).try_spend() {
            let refusal = Verdict::give_up(false, true);
            return out.push(Action::Refuse(flight.attempt.id, refusal));
        }
        let account = self.fleet.accounts.get(&flight.request.account);
        let weight = account.map_or(1, |a| a.weight);
        let (pool, plan) = (flight.pool.clone(), flight.bounce());
        let queued = QueuedRequest::with_plan(flight.request, weight, plan);
        self.queues.push(pool, queued, now);
    }

    fn configure(&mut self, fleet: &Fleet, now: Timestamp) {
        // Versions only grow, so that a slow read or a late peer cannot bring an old one back.
        if fleet.version <= self.fleet.version {
            return;
        }
        self.fleet = fleet.clone();
        self.sender.adopt(fleet, now);
        self.limits.retain(|id| fleet.accounts.contains_key(id));
        self.queues.set_floor(fleet.rules.drafting_share);
        self.queues.mark_all();
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

    /// Tries again what waits for it, as far as the budget and the servers allow.
    fn try_again(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.budgets.refill(now);
        for retry in self.retries.take() {
            let want = PlacementRequest::new(&retry.request, retry.plan, true);
            let want = want.with_failed(retry.failed.as_ref());
            let service = self.fleet.services.get(&retry.request.service);
            let pool = service.map(|s| s.pool.clone());
            let allowed = pool
                .as_ref()
                .is_some_and(|p| self.budgets.for_pool(p, now).has_retry());
            if allowed && self.dispatch(want, now, out) {
                if let Some(pool) = &pool {
                    self.budgets.for_pool(pool, now).try_spend();
                }
            } else {
                self.retries.push(retry);
            }
        }
    }

    /// Sends requests that wait, pool by pool, for as long as there is a server for the next.
    fn pump(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some(pool) = self.queues.next_marked() {
            let mut blocked = BlockedClasses::new();
            while let Some((queued, owed)) = self.queues.peek(&pool, &blocked) {
                let queued = queued.clone();
                if self.dispatch(
                    PlacementRequest::new(&queued.request, queued.plan, owed),
                    now,
                    out,
                ) {
                    self.queues.take(queued.request.id, now);
                } else {
                    self.set_aside(&queued, &mut blocked, now, out);
                }
            }
        }
    }

    /// Sends a request to the best server. Returns whether there was one.
    fn dispatch(
        &mut self,
        want: PlacementRequest<'_>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> bool {
        let service = self.fleet.services.get(&want.request.service);
        let servers = self.sender.servers();
        if !service.is_some_and(|s| self.claims.permits(want.request, s, servers)) {
            return false;
        }
        let order = self.sender.send(want, &self.config, &self.fleet, now);
        let sent = order.is_some();
        out.extend(order.map(Action::Dispatch));
        sent
    }
}

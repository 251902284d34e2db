//! Turns events into actions: admission, queueing, dispatch, retries and claims.

use super::{AdmissionCheck, Dispatcher, PlacementRequest, Queues, RetryQueue, RouterConfig};
use crate::admit::{AccountLimits, BlockedClasses, QueuedRequest};
use crate::claim::{ClaimDecision, ClaimOutcome, ClaimTable};
use crate::domain::{Attempt, Refusal, RefusalReason, Request, RequestId, Timestamp};
use crate::event::{Action, Event, Finish};
use crate::fleet::Fleet;
use crate::retry::RetryBudgets;
use crate::route::Policy;
use crate::tally::{Outcome, OutcomeTally};

/// Makes all decisions of one entry instance. It handles events with their time and returns
/// actions.
#[derive(Debug)]
pub struct Router<P> {
    pub(super) config: RouterConfig,
    pub(super) fleet: Fleet,
    pub(super) dispatcher: Dispatcher<P>,
    pub(super) limits: AccountLimits,
    pub(super) queues: Queues,
    pub(super) claims: ClaimTable,
    pub(super) retries: RetryQueue,
    pub(super) budgets: RetryBudgets,
    pub(super) tally: OutcomeTally,
    pub(super) draining: bool,
    /// The time at which a draining instance gives up what is unfinished.
    pub(super) closing: Option<Timestamp>,
    pub(super) last_event: Timestamp,
}

impl<P: Policy> Router<P> {
    /// Creates a router without a fleet configuration.
    pub fn new(config: RouterConfig, policy: P) -> Self {
        Self {
            budgets: RetryBudgets::new(config.retry_percent, config.retry_slack),
            retries: RetryQueue::new(),
            dispatcher: Dispatcher::new(policy, &config),
            fleet: Fleet::new(),
            limits: AccountLimits::new(config.seed),
            config,
            queues: Queues::new(),
            claims: ClaimTable::new(),
            tally: OutcomeTally::new(),
            draining: false,
            closing: None,
            last_event: Timestamp::ZERO,
        }
    }

    /// Handles an event that was seen at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, event: Event<'_>, now: Timestamp, out: &mut Vec<Action>) {
        self.advance_to(now);
        let start = out.len();
        match event {
            Event::Arrived(request) => self.arrive(request, now, out),
            Event::CallerDisconnected(id) => self.disconnect(id, now, out),
            Event::Started(attempt) => self.start(attempt, now),
            Event::Finished(finish) => self.finish(finish, now, out),
            Event::Failed(failure) => self.fail(failure, now, out),
            Event::Claim(outcome) => self.handle_claim(outcome, now, out),
            Event::Cache(update) => self.update_cache(update, out),
            Event::Load(report) => self.apply_report(report, now, out),
            Event::LoadSample(sample) => self.apply_sample(sample, now),
            Event::Paused(notice) => self.apply_pause(notice, now),
            Event::Configured(fleet) => self.configure(fleet, now),
            Event::ZoneEntries(_) if self.config.shared_servers => {}
            Event::ZoneEntries(count) => self.dispatcher.servers_mut().set_entries(count),
            Event::ListedEntries(count) => self.set_listed_entries(count),
            Event::Demand(zones) => self.limits.record(zones, now),
            Event::Announced(update) => self.apply_announcement(update, now, out),
            Event::Server(update) => self.apply_server_update(update, now),
            Event::Loading(notice) => self.apply_loading(notice, now),
            Event::CrashReport(report) => self.apply_crash_report(report, now, out),
            Event::QuarantineChanged(change) => self.apply_quarantine(change, now, out),
            Event::QuarantinesLost => self.dispatcher.guard_mut().mark_lost(),
            Event::Leaving(list) => self.set_listed_leaving(list),
            Event::Draining => self.draining = true,
            Event::Closing(end) => self.close(end),
            Event::Tick => self.queues.mark_all_dirty(),
        }
        self.expire(now, out);
        self.recall_outdated(now, out);
        self.refuse_hopeless(event, now, out);
        self.dispatch_retries(now, out);
        self.dispatch_queued(now, out);
        self.broadcast_crash_reports(out);
        self.store_quarantines(now, out);
        self.claims.apply_actions(start, out);
        self.settle_refused(&out[start..], now);
        self.tally.apply_actions(&out[start..], now);
    }

    fn advance_to(&mut self, now: Timestamp) {
        self.last_event = now;
        self.expire_leaving(now);
    }

    fn arrive(&mut self, request: &Request, now: Timestamp, out: &mut Vec<Action>) {
        self.tally.open(request);
        let mut admission = AdmissionCheck {
            fleet: &self.fleet,
            queues: &self.queues,
            limits: &mut self.limits,
            guard: self.dispatcher.guard(),
            servers: self.dispatcher.servers(),
            queue_limit: self.config.queue_limit,
            draining: self.draining,
        };
        let servers = self.dispatcher.servers();
        let action = match admission.check(request, now) {
            Err(refusal) => Action::Refuse(request.id, refusal),
            Ok((service, _)) if self.claims.permits(request, service, servers) => {
                return self.enqueue(request, now, out);
            }
            Ok(_) => self.claims.request(request, now),
        };
        out.push(action);
    }

    /// Queues a request for its pool.
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

    fn handle_claim(&mut self, outcome: &ClaimOutcome, now: Timestamp, out: &mut Vec<Action>) {
        match self.claims.handle_outcome(outcome, now, out) {
            ClaimDecision::Proceed(request) => self.enqueue(&request, now, out),
            ClaimDecision::ReplayAnswer(answer) => {
                out.push(Action::ReplayAnswer(outcome.id(), answer))
            }
            ClaimDecision::Refuse(refusal) => out.push(Action::Refuse(outcome.id(), refusal)),
            ClaimDecision::Nothing => {}
        }
    }

    fn disconnect(&mut self, id: RequestId, now: Timestamp, out: &mut Vec<Action>) {
        self.tally.close(id, Outcome::Abandoned);
        if let Some(flight) = self.dispatcher.remove(id, now) {
            // The server still completes the whole answer of a plain service, and the claim
            // keeps it for a caller that retries.
            let whole = self.fleet.is_plain(&flight.request.service);
            self.claims.caller_disconnected(id, whole);
            self.queues.mark_dirty(&flight.pool);
            self.limits.settle(id, false, now);
            return out.push(Action::Cancel(flight.attempt));
        }
        if self.retries.remove(id).is_none() {
            self.queues.remove(id);
        }
        self.limits.settle(id, true, now);
        self.claims.cancel(id, out);
    }

    fn start(&mut self, attempt: Attempt, now: Timestamp) {
        if self.dispatcher.start(attempt) {
            self.tally.start(attempt.id, now);
        }
    }

    fn finish(&mut self, finish: &Finish, now: Timestamp, out: &mut Vec<Action>) {
        self.claims.finish(finish.attempt, out);
        self.limits.settle(finish.attempt.id, false, now);
        if let Some(flight) = self.dispatcher.finish(finish, now) {
            self.tally.finish(finish.attempt.id, now);
            self.queues.mark_dirty(&flight.pool);
        }
    }

    fn configure(&mut self, fleet: &Fleet, now: Timestamp) {
        // Versions must increase, so that a slow read or a late peer cannot restore an old one.
        if fleet.version <= self.fleet.version {
            return;
        }
        self.fleet = fleet.clone();
        self.dispatcher.reconfigure(fleet, now);
        self.limits.reconfigure(fleet.accounts.values(), now);
        self.queues.set_drafting_share(fleet.rules.drafting_share);
        self.queues.mark_all_dirty();
    }

    /// Dispatches waiting retries as far as the retry budget and the servers allow.
    fn dispatch_retries(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.budgets.refill(now);
        for retry in self.retries.take() {
            let query = PlacementRequest::new(&retry.request, retry.plan, true);
            let query = query.with_failed_server(retry.failed_server.as_ref());
            let service = self.fleet.services.get(&retry.request.service);
            let pool = service.map(|s| s.pool.clone());
            let allowed = pool
                .as_ref()
                .is_some_and(|p| self.budgets.for_pool(p, now).has_retry());
            if allowed && self.dispatch(query, now, out) {
                if let Some(pool) = &pool {
                    self.budgets.for_pool(pool, now).try_spend();
                }
            } else if let Some(refusal) = pool
                .as_ref()
                .and_then(|p| self.refusal_if_all_leave(p, &retry.plan))
            {
                out.push(Action::Refuse(retry.request.id, refusal));
            } else {
                self.retries.push(retry);
            }
        }
    }

    /// Dispatches queued requests of each dirty pool for as long as the next one finds a server.
    fn dispatch_queued(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some(pool) = self.queues.pop_dirty() {
            let mut blocked = BlockedClasses::new();
            while let Some((queued, use_reserved)) = self.queues.peek(&pool, &blocked) {
                let queued = queued.clone();
                if self.dispatch(
                    PlacementRequest::new(&queued.request, queued.plan, use_reserved),
                    now,
                    out,
                ) {
                    self.queues.take(queued.request.id, now);
                } else {
                    self.defer(&pool, &queued, &mut blocked, now, out);
                }
            }
        }
    }

    /// Dispatches a request to the best server. Returns whether there was one.
    fn dispatch(
        &mut self,
        query: PlacementRequest<'_>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> bool {
        let service = self.fleet.services.get(&query.request.service);
        let servers = self.dispatcher.servers();
        if !service.is_some_and(|s| self.claims.permits(query.request, s, servers)) {
            return false;
        }
        let dispatch = self
            .dispatcher
            .dispatch(query, &self.config, &self.fleet, now);
        let sent = dispatch.is_some();
        if sent && !query.plan.not_run {
            self.limits.charge_again(query.request.id, now);
        }
        out.extend(dispatch.map(Action::Dispatch));
        sent
    }
}

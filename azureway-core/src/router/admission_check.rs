//! Decides whether a new request is queued or refused.

use std::time::Duration;

use super::leaving::all_leave;
use super::{Outlook, Queues, RetryDecision};
use crate::admit::{AccountLimits, PoolQueue};
use crate::domain::{
    ClientAccount, ModelService, Rank, Refusal, RefusalReason, Request, Timestamp,
};
use crate::fleet::{Fleet, ServerTable};
use crate::quarantine::CrashGuard;

/// The state that decides whether a new request is queued.
#[derive(Debug)]
pub struct AdmissionCheck<'a> {
    /// The configuration of the fleet.
    pub fleet: &'a Fleet,
    /// The queued requests.
    pub queues: &'a Queues,
    /// The rate limits of client accounts.
    pub limits: &'a mut AccountLimits,
    /// The guard against requests that crash servers.
    pub guard: &'a CrashGuard,
    /// The state of the backend servers.
    pub servers: &'a ServerTable,
    /// The maximum number of queued requests per pool.
    pub queue_limit: usize,
    /// Whether the instance is shutting down.
    pub draining: bool,
}

impl<'a> AdmissionCheck<'a> {
    /// Returns the service and the account of a request that may be queued, and charges its
    /// account.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that may not be queued.
    pub fn check(
        &mut self,
        request: &Request,
        now: Timestamp,
    ) -> Result<(&'a ModelService, &'a ClientAccount), Refusal> {
        if self.draining {
            return Err(refusal(
                RefusalReason::Draining,
                "the instance is shutting down",
            ));
        }
        if request.deadline.is_past(now) {
            return Err(refusal(RefusalReason::Deadline, "the deadline has passed"));
        }
        if self.guard.is_quarantined(request, now) {
            return Err(RetryDecision::quarantined(true));
        }
        let service = self.service(request)?;
        let account = self.account(request)?;
        if self.servers.all_leave(&service.pool) {
            return Err(all_leave());
        }
        if !self.servers.can_hold(&service.pool, request) {
            let detail = "the prompt is larger than the memory of every backend server";
            return Err(refusal(RefusalReason::TooLarge, detail));
        }
        if self.queues.pool_len(&service.pool) >= self.queue_limit {
            return Err(refusal(RefusalReason::Overloaded, "too many requests wait"));
        }
        self.check_pauses(service, request, now)?;
        self.check_outlook(service, request, now)?;
        self.check_wait(service, request, now)?;
        // The limit is checked last, so that a request refused for another reason is not charged.
        self.check_limit(request, now)?;
        Ok((service, account))
    }

    fn service(&self, request: &Request) -> Result<&'a ModelService, Refusal> {
        let service = self.fleet.services.get(&request.service);
        service.ok_or_else(|| refusal(RefusalReason::UnknownService, "no service of this name"))
    }

    fn account(&self, request: &Request) -> Result<&'a ClientAccount, Refusal> {
        let account = self.fleet.accounts.get(&request.account);
        account.ok_or_else(|| refusal(RefusalReason::Unauthorized, "the client account is gone"))
    }

    /// Refuses a request if every server of its pool is held until after its deadline.
    fn check_pauses(
        &self,
        service: &ModelService,
        request: &Request,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let end = self.servers.pause_end(&service.pool, now);
        match end.filter(|e| request.deadline.timestamp() < *e) {
            None => Ok(()),
            Some(end) => Err(RetryDecision::paused(true, end.since(now))),
        }
    }

    /// Refuses a request that the servers whose weights may answer cannot serve before its deadline.
    fn check_outlook(
        &self,
        service: &ModelService,
        request: &Request,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let Some(outlook) = Outlook::new(service, self.servers, now) else {
            return Ok(());
        };
        let ahead = self.requests_ahead(service, request);
        match outlook.allows(ahead, request.deadline.timestamp()) {
            true => Ok(()),
            false => Err(RetryDecision::outdated(true, outlook.next_server(now))),
        }
    }

    /// Returns the number of queued requests that are served before `request`.
    fn requests_ahead(&self, service: &ModelService, request: &Request) -> usize {
        let queue = self.queues.get(&service.pool);
        let depth = |rank| queue.map_or(0, |q| q.depth(rank));
        match request.rank {
            Rank::Urgent => depth(Rank::Urgent),
            Rank::Drafting => depth(Rank::Urgent) + depth(Rank::Drafting),
        }
    }

    /// Refuses a request whose expected queue wait exceeds its deadline.
    fn check_wait(
        &self,
        service: &ModelService,
        request: &Request,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let queue = self.queues.get(&service.pool);
        let wait = queue.and_then(|q: &PoolQueue| q.expected_wait(request, now));
        let wait = wait.max(self.limited_wait(service, request, now));
        match wait.filter(|w| !request.deadline.allows(now, *w)) {
            None => Ok(()),
            Some(wait) => {
                let detail = "the work before it takes longer than the deadline allows";
                Err(refusal(RefusalReason::Deadline, detail).with_retry(wait))
            }
        }
    }

    /// Returns the wait for a request's turn if every server of the pool names a limit.
    fn limited_wait(
        &self,
        service: &ModelService,
        request: &Request,
        now: Timestamp,
    ) -> Option<Duration> {
        let rate = self.servers.limited_rate(&service.pool, now)?;
        let ahead = self.requests_ahead(service, request);
        let wait = Duration::try_from_secs_f64(ahead as f64 / rate);
        Some(wait.unwrap_or(Duration::MAX))
    }

    fn check_limit(&mut self, request: &Request, now: Timestamp) -> Result<(), Refusal> {
        self.limits.admit(request, now).map_err(|limit| {
            let detail = limit.to_string();
            refusal(RefusalReason::AccountLimit, &detail).with_retry(limit.wait)
        })
    }
}

fn refusal(reason: RefusalReason, detail: &str) -> Refusal {
    Refusal::not_run(reason, detail)
}

//! Whether a request may wait.

use std::time::Duration;

use super::{Queues, Verdict};
use crate::admit::{AccountLimits, PoolQueue};
use crate::domain::{ClientAccount, ModelService, Refusal, RefusalReason, Request, Timestamp};
use crate::fleet::Fleet;
use crate::quarantine::CrashGuard;

/// What is looked at to tell whether a request may wait.
#[derive(Debug)]
pub struct Intake<'a> {
    /// The configuration in force.
    pub fleet: &'a Fleet,
    /// The requests that wait.
    pub queues: &'a Queues,
    /// The limits of client accounts.
    pub limits: &'a mut AccountLimits,
    /// The guard against requests that crash servers.
    pub guard: &'a CrashGuard,
    /// The requests that may wait for a pool.
    pub bound: usize,
    /// Whether the instance is shutting down.
    pub draining: bool,
}

impl<'a> Intake<'a> {
    /// Returns the service and the account of a request that may wait, and charges the account.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that may not.
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
        if self.guard.is_quarantined(&request.fingerprint, now) {
            return Err(Verdict::barred(true));
        }
        let service = self.service(request)?;
        let account = self.account(request)?;
        if self.queues.len_of(&service.pool) >= self.bound {
            return Err(refusal(RefusalReason::Overloaded, "too many requests wait"));
        }
        self.check_wait(service, request, now)?;
        // The limit comes last: what is refused for another reason is not charged.
        self.check_limit(account, request, now)?;
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

    /// Refuses a request that would wait past its deadline at the pace of the work before it.
    fn check_wait(
        &self,
        service: &ModelService,
        request: &Request,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let order = self.queues.get(&service.pool);
        let wait = order.and_then(|o: &PoolQueue| o.expected_wait(request, now));
        match wait.filter(|w| !request.deadline.allows(now, *w)) {
            None => Ok(()),
            Some(wait) => {
                let detail = "the work before it takes longer than the deadline allows";
                Err(refusal(RefusalReason::Deadline, detail).with_retry(wait))
            }
        }
    }

    fn check_limit(
        &mut self,
        account: &ClientAccount,
        request: &Request,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let charged = self.limits.charge(account, request.cost(), now);
        charged.map_err(|wait: Duration| {
            let detail = "the client account has used up its limit";
            refusal(RefusalReason::AccountLimit, detail).with_retry(wait)
        })
    }
}

fn refusal(reason: RefusalReason, detail: &str) -> Refusal {
    Refusal::not_run(reason, detail)
}

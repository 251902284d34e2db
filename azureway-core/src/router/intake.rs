//! Whether a request may wait.

use super::Queues;
use crate::domain::{ClientAccount, ModelService, Refusal, RefusalReason, Request, Timestamp};
use crate::fleet::Fleet;

/// What is looked at to tell whether a request may wait.
#[derive(Clone, Copy, Debug)]
pub struct Intake<'a> {
    /// The configuration in force.
    pub fleet: &'a Fleet,
    /// The requests that wait.
    pub queues: &'a Queues,
    /// The requests that may wait for a pool.
    pub bound: usize,
    /// Whether the instance is shutting down.
    pub draining: bool,
}

impl<'a> Intake<'a> {
    /// Returns the service and the account of a request that may wait.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that may not.
    pub fn check(
        &self,
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
        let service = self.service(request)?;
        let account = self.account(request)?;
        if self.queues.len_of(&service.pool) >= self.bound {
            return Err(refusal(RefusalReason::Overloaded, "too many requests wait"));
        }
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
}

fn refusal(reason: RefusalReason, detail: &str) -> Refusal {
    Refusal::not_run(reason, detail)
}

//! Handling of backend servers that announce that they leave.

use super::{AttemptPlan, RetryDecision, Router};
use crate::domain::{PoolId, Refusal, RefusalReason, StreamPosition, Timestamp};
use crate::event::Action;
use crate::fleet::LeavingChange;
use crate::member::ServerUpdate;
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Returns what this entry has begun or ceased to believe of leaving servers since the last call.
    pub fn take_leaving_changes(&mut self) -> Vec<LeavingChange> {
        let marks = self.dispatcher.servers_mut().leaving_marks_mut();
        marks.take_changes()
    }

    /// Applies what a server said of itself with an answer, and tells the other entries.
    pub(super) fn apply_announcement(
        &mut self,
        update: &ServerUpdate,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self
            .dispatcher
            .servers_mut()
            .apply_announcement(update, now)
        {
            out.push(Action::BroadcastServer(update.clone()));
            self.queues.mark_all_dirty();
        }
    }

    /// Applies an update about a server from another entry.
    pub(super) fn apply_server_update(&mut self, update: &ServerUpdate, now: Timestamp) {
        if self.dispatcher.servers_mut().apply_update(update, now) {
            self.queues.mark_all_dirty();
        }
    }

    /// Lets servers be tried again whose announcements are too old.
    pub(super) fn expire_leaving(&mut self, now: Timestamp) {
        if self.dispatcher.servers_mut().expire_leaving(now) {
            self.queues.mark_all_dirty();
        }
    }

    /// Returns the refusal of a request that waits for a server of a pool that all servers leave, or
    /// `None` if it is worth waiting. A stream that has begun waits for a new server, since its caller
    /// cannot repeat it.
    pub(super) fn refusal_if_all_leave(
        &self,
        pool: &PoolId,
        plan: &AttemptPlan,
    ) -> Option<Refusal> {
        let begun = plan.position > StreamPosition::ZERO;
        if begun || !self.dispatcher.servers().all_leave(pool) {
            return None;
        }
        Some(match plan.not_run {
            true => all_leave(),
            false => RetryDecision::give_up(false, false),
        })
    }
}

/// Returns the refusal of a request to a pool that all servers leave.
pub(super) fn all_leave() -> Refusal {
    let detail = "every backend server of the pool is leaving";
    Refusal::not_run(RefusalReason::NoServer, detail)
}

//! Handling of requests that were running when backend servers failed.

use super::{InFlight, Retry, RetryDecision, Router};
use crate::admit::{BlockedClasses, QueuedRequest};
use crate::domain::{Fingerprint, PoolId, StreamPosition, Timestamp};
use crate::event::{Action, Failure, FailureKind};
use crate::quarantine::{CrashReport, QuarantineChange, SuspectStatus};
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Returns the suspect status of a request from the earlier attempts with its fingerprint.
    pub fn suspect_status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        self.dispatcher.guard().status(fingerprint, now)
    }

    /// Decides about a request after a failed attempt. A request that is quarantined by now is
    /// not retried, unless the failed attempt advanced its stream and no part of its prompt is
    /// quarantined.
    pub(super) fn decide_retry(
        &mut self,
        flight: &InFlight,
        failure: &Failure,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> RetryDecision {
        let guard = self.dispatcher.guard();
        if guard.is_quarantined(&flight.request, now) {
            let progress = failure.position > flight.position;
            let resumable = progress && !guard.has_quarantined_part(&flight.request, now);
            self.refuse_quarantined(now, out);
            if !resumable {
                let not_run = flight.not_run && failure.sent.is_not_run();
                let begun = failure.position > StreamPosition::ZERO;
                let refusal = match failure.kind {
                    FailureKind::Recalled if !begun => RetryDecision::quarantined(not_run),
                    _ => RetryDecision::give_up(begun, not_run),
                };
                return RetryDecision::Refuse(refusal);
            }
        }
        RetryDecision::new(flight, failure, self.config.max_attempts, now)
    }

    /// Applies a crash report from another entry.
    pub(super) fn apply_crash_report(
        &mut self,
        report: &CrashReport,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.dispatcher.guard_mut().merge(report, now) {
            self.refuse_quarantined(now, out);
        }
    }

    /// Applies a change of the quarantined parts that the platform stores. A part that is removed there
    /// stays quarantined here for as long as its crash reports count.
    pub(super) fn apply_quarantine(
        &mut self,
        change: &QuarantineChange,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let guard = self.dispatcher.guard_mut();
        match change {
            QuarantineChange::Stored(record) => {
                guard.mark_stored(record.part);
                for report in &record.reports {
                    self.apply_crash_report(report, now, out);
                }
            }
            QuarantineChange::Removed(part) => guard.mark_removed(part),
        }
    }

    /// Appends the changes of the quarantined parts that the platform is to store.
    pub(super) fn store_quarantines(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let guard = self.dispatcher.guard_mut();
        for part in guard.take_changed_parts() {
            let change = guard.quarantine_change(part, now);
            out.extend(change.map(Action::StoreQuarantine));
        }
    }

    /// Refuses every queued request that is quarantined, and every waiting retry whose stream has
    /// not begun. Requests in flight go on, since a few crashes cannot tell a request that causes them
    /// from one that merely ran beside it. Those with a quarantined part are recalled before they
    /// crash their servers, unless their servers have begun to answer.
    fn refuse_quarantined(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let guard = self.dispatcher.guard();
        let quarantined = |retry: &Retry| guard.is_quarantined(&retry.request, now);
        for retry in self.retries.remove_fresh(quarantined) {
            let refusal = RetryDecision::quarantined(retry.plan.not_run);
            out.push(Action::Refuse(retry.request.id, refusal));
        }
        for queued in self
            .queues
            .remove_if(|q| guard.is_quarantined(&q.request, now))
        {
            let refusal = RetryDecision::quarantined(queued.plan.not_run);
            out.push(Action::Refuse(queued.request.id, refusal));
        }
        let recalls = self.dispatcher.recall_quarantined(now);
        out.extend(recalls.into_iter().map(Action::Recall));
    }

    /// Handles a queued request that found no server. If all servers of its pool leave, it is refused.
    /// A suspect moves to the retries, where it waits for a server without other suspects and does not
    /// delay other requests. A quarantined request is refused. Any other request blocks its class.
    pub(super) fn defer(
        &mut self,
        pool: &PoolId,
        queued: &QueuedRequest,
        blocked: &mut BlockedClasses,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let request = &queued.request;
        if let Some(refusal) = self.refusal_if_all_leave(pool, &queued.plan) {
            self.queues.remove(request.id);
            return out.push(Action::Refuse(request.id, refusal));
        }
        let status = self.dispatcher.guard().request_status(request, now);
        if status == SuspectStatus::Clear {
            return blocked.add(queued);
        }
        self.queues.take(request.id, now);
        if status == SuspectStatus::Suspect {
            self.retries
                .push(Retry::for_suspect(request.clone(), queued.plan));
        } else {
            let refusal = RetryDecision::quarantined(queued.plan.not_run);
            out.push(Action::Refuse(request.id, refusal));
        }
    }

    /// Appends the crash reports to send to the other entries.
    pub(super) fn broadcast_crash_reports(&mut self, out: &mut Vec<Action>) {
        let updates = self.dispatcher.guard_mut().take_updates();
        out.extend(updates.into_iter().map(Action::BroadcastCrashReport));
    }
}

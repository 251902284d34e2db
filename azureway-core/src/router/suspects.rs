//! Handling of requests that were running when backend servers failed.

use super::{InFlight, Retry, RetryDecision, Router};
use crate::admit::{BlockedClasses, QueuedRequest};
use crate::domain::{Fingerprint, StreamPosition, Timestamp};
use crate::event::{Action, Failure};
use crate::quarantine::{CrashReport, SuspectStatus};
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Returns the suspect status of a request from the earlier attempts with its fingerprint.
    pub fn suspect_status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        self.dispatcher.guard().status(fingerprint, now)
    }

    /// Decides about a request after a failed attempt. A request that is quarantined by now is
    /// not retried unless the failed attempt advanced its stream.
    pub(super) fn decide_retry(
        &mut self,
        flight: &InFlight,
        failure: &Failure,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> RetryDecision {
        let fingerprint = &flight.request.fingerprint;
        if self.dispatcher.guard().is_quarantined(fingerprint, now) {
            self.refuse_quarantined(fingerprint, out);
            if failure.position <= flight.position {
                let not_run = flight.not_run && failure.sent.is_not_run();
                let begun = failure.position > StreamPosition::ZERO;
                return RetryDecision::Refuse(RetryDecision::give_up(begun, not_run));
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
            self.refuse_quarantined(&report.fingerprint, out);
        }
    }

    /// Refuses every waiting retry of a quarantined request whose stream has not begun. Queued
    /// requests are refused when they reach the head of their queue. Requests in flight go on,
    /// since crash reports cannot tell the cause of a crash from a request that merely ran beside
    /// it.
    fn refuse_quarantined(&mut self, fingerprint: &Fingerprint, out: &mut Vec<Action>) {
        for retry in self.retries.remove_quarantined(fingerprint) {
            let refusal = RetryDecision::quarantined(retry.plan.not_run);
            out.push(Action::Refuse(retry.request.id, refusal));
        }
    }

    /// Handles a queued request that found no server. A suspect moves to the retries, where it
    /// waits for a server without other suspects and does not delay other requests. A quarantined
    /// request is refused. Any other request blocks its class.
    pub(super) fn defer(
        &mut self,
        queued: &QueuedRequest,
        blocked: &mut BlockedClasses,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let request = &queued.request;
        let status = self.suspect_status(&request.fingerprint, now);
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

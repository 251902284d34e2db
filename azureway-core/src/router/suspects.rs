//! What a router does about requests under which backend servers broke.

use super::{InFlight, Retry, Router, Verdict};
use crate::admit::{BlockedClasses, QueuedRequest};
use crate::domain::{Fingerprint, StreamPosition, Timestamp};
use crate::event::{Action, Failure};
use crate::quarantine::{Strike, SuspectStatus};
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Returns how a request stands after what its earlier sendings did.
    pub fn suspect_status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        self.sender.guard().status(fingerprint, now)
    }

    /// Judges a failed try. A request that is quarantined by now is not tried again, unless it
    /// is a stream that the failed try brought forward.
    pub(super) fn judge(
        &mut self,
        flight: &InFlight,
        failure: &Failure,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let fingerprint = &flight.request.fingerprint;
        if self.sender.guard().is_quarantined(fingerprint, now) {
            self.banish(fingerprint, out);
            if failure.position <= flight.position {
                let untouched = flight.untouched && failure.sent.is_not_run();
                let begun = failure.position > StreamPosition::ZERO;
                return Verdict::Refuse(Verdict::give_up(begun, untouched));
            }
        }
        Verdict::new(flight, failure, self.config.max_attempts, now)
    }

    /// Takes in a strike of another entry.
    pub(super) fn struck(&mut self, strike: &Strike, now: Timestamp, out: &mut Vec<Action>) {
        if self.sender.guard_mut().merge(strike, now) {
            self.banish(&strike.fingerprint, out);
        }
    }

    /// Refuses every sending of a quarantined request that waits to be tried again and has not
    /// begun its stream. Those in a queue are refused when it is their turn. Those that run go on: one of them may be the
    /// innocent that the strikes do not tell from a culprit.
    fn banish(&mut self, fingerprint: &Fingerprint, out: &mut Vec<Action>) {
        for retry in self.retries.banish(fingerprint) {
            let refusal = Verdict::barred(retry.plan.untouched);
            out.push(Action::Refuse(retry.request.id, refusal));
        }
    }

    /// Takes out of its queue what is suspected, so that it waits for a server of its own
    /// without holding up others, and what is quarantined. Anything else blocks its class.
    pub(super) fn set_aside(
        &mut self,
        queued: &QueuedRequest,
        blocked: &mut BlockedClasses,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let request = &queued.request;
        let standing = self.suspect_status(&request.fingerprint, now);
        if standing == SuspectStatus::Clear {
            return blocked.add(queued);
        }
        self.queues.take(request.id, now);
        if standing == SuspectStatus::Suspect {
            self.retries.push(Retry::held(request.clone(), queued.plan));
        } else {
            let refusal = Verdict::barred(queued.plan.untouched);
            out.push(Action::Refuse(request.id, refusal));
        }
    }

    /// Appends what peers have to hear of strikes.
    pub(super) fn tell_strikes(&mut self, out: &mut Vec<Action>) {
        let news = self.sender.guard_mut().take_updates();
        out.extend(news.into_iter().map(Action::BroadcastStrike));
    }
}

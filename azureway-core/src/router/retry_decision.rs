//! Decides whether a request is retried, requeued or refused after a failed attempt.

use std::time::Duration;

use super::InFlight;
use crate::domain::{Refusal, RefusalReason, RequestKind, StreamPosition, Timestamp};
use crate::event::{Failure, FailureKind};

/// The decision about a request after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry the request.
    Retry,
    /// Return the request to its queue until a server has capacity.
    Requeue,
    /// Refuse the request or end its stream.
    Refuse(Refusal),
}

/// The maximum number of capacity rejections of a request before it is given up.
const MAX_REJECTIONS: u32 = 8;

impl RetryDecision {
    /// Decides about `flight` after a failure. `max_attempts` bounds its attempts, apart from
    /// capacity rejections.
    pub fn new(flight: &InFlight, failure: &Failure, max_attempts: u32, now: Timestamp) -> Self {
        let not_run = failure.sent.is_not_run();
        if !not_run && flight.request.kind == RequestKind::AtMostOnce {
            if failure.kind == FailureKind::Recalled {
                return Self::Refuse(Self::recalled(failure));
            }
            let detail = "the backend server failed after it may have run the request";
            return Self::Refuse(Refusal::maybe_run(RefusalReason::ServerFailed, detail));
        }
        if failure.is_capacity_rejection() && flight.not_run {
            return if flight.rejections < MAX_REJECTIONS {
                Self::Requeue
            } else {
                Self::Refuse(Self::give_up(false, true))
            };
        }
        // The deadline applies to the first token, so a stream that has begun is still completed.
        let begun = failure.position > StreamPosition::ZERO;
        let late = !begun && flight.request.deadline.is_past(now)
            || flight.request.time_limit.is_some_and(|limit| limit < now);
        let max_attempts = flight
            .request
            .max_attempts
            .map_or(max_attempts, |own| own.min(max_attempts));
        if !late && flight.attempt.number - flight.rejections < max_attempts {
            return Self::Retry;
        }
        Self::Refuse(Self::give_up(begun, not_run && flight.not_run))
    }

    /// Returns the refusal of a request whose deadline passed in the queue.
    pub fn deadline_passed() -> Refusal {
        let detail = "the deadline passed in the queue";
        Refusal::not_run(RefusalReason::Deadline, detail)
    }

    /// Returns the refusal of a request in flight whose time limit has passed.
    pub fn time_limit_passed() -> Refusal {
        let detail = "the time limit of the route passed before the answer was complete";
        Refusal::maybe_run(RefusalReason::Deadline, detail)
    }

    /// Returns the refusal of a request that no server may serve before its deadline because of its
    /// weights. The next server is expected to after `wait`, if any is.
    pub fn outdated(not_run: bool, wait: Option<Duration>) -> Refusal {
        if !not_run {
            return Self::give_up(false, false);
        }
        let detail = "no backend server has weights that may answer in time";
        let refusal = Refusal::not_run(RefusalReason::NoServer, detail);
        match wait {
            Some(wait) => refusal.with_retry(wait),
            None => refusal,
        }
    }

    /// Returns the refusal of a request that was recalled and is not retried.
    pub fn recalled(failure: &Failure) -> Refusal {
        if failure.position > StreamPosition::ZERO {
            return Self::give_up(true, false);
        }
        let detail = "the request was recalled before the backend server began it";
        Refusal::maybe_run(RefusalReason::ServerFailed, detail)
    }

    /// Returns the refusal of a request that is quarantined because backend servers crashed
    /// while they ran it.
    pub fn quarantined(not_run: bool) -> Refusal {
        let detail = "backend servers crashed while they ran this request";
        Refusal::new(RefusalReason::Quarantined, not_run, detail)
    }

    /// Returns the refusal of a request whose pool has no server that wants requests within its
    /// deadline. The first of them is used again after `wait`.
    pub fn paused(not_run: bool, wait: Duration) -> Refusal {
        if not_run {
            let detail = "every backend server has asked for a pause";
            Refusal::not_run(RefusalReason::NoServer, detail).with_retry(wait)
        } else {
            Self::give_up(false, false)
        }
    }

    /// Returns the refusal of a request that is not retried.
    pub fn give_up(begun: bool, not_run: bool) -> Refusal {
        match (begun, not_run) {
            (true, _) => Refusal::maybe_run(
                RefusalReason::StreamBroken,
                "the stream broke and could not be resumed",
            ),
            (false, true) => Refusal::not_run(
                RefusalReason::NoServer,
                "no backend server took the request",
            ),
            (false, false) => {
                Refusal::maybe_run(RefusalReason::ServerFailed, "the backend servers failed")
            }
        }
    }
}

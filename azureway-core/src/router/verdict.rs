//! What follows from a failed try.

use super::InFlight;
use crate::domain::{Refusal, RefusalReason, RequestKind, StreamPosition, Timestamp};
use crate::event::Failure;

/// What follows from a failed try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try again.
    Retry,
    /// Wait again for a server with room.
    Wait,
    /// Refuse the request or end its stream.
    Refuse(Refusal),
}

/// The tries of a request that servers may refuse for lack of room before it is given up.
const BOUNCES: u32 = 8;

impl Verdict {
    /// Judges a failure of `flight`. `tries` bounds the tries of a request.
    pub fn new(flight: &InFlight, failure: &Failure, tries: u32, now: Timestamp) -> Self {
        let not_run = failure.sent.is_not_run();
        if !not_run && flight.request.kind == RequestKind::AtMostOnce {
            let detail = "the backend server failed after it may have run the request";
            return Self::Refuse(Refusal::maybe_run(RefusalReason::ServerFailed, detail));
        }
        if failure.is_capacity_rejection() && flight.untouched {
            return if flight.bounced < BOUNCES {
                Self::Wait
            } else {
                Self::Refuse(Self::give_up(false, true))
            };
        }
        // The deadline is for the first token: a stream that has begun is finished.
        let begun = failure.position > StreamPosition::ZERO;
        let late = !begun && flight.request.deadline.is_past(now);
        let tries = flight
            .request
            .max_attempts
            .map_or(tries, |own| own.min(tries));
        if !late && flight.attempt.number - flight.bounced < tries {
            return Self::Retry;
        }
        Self::Refuse(Self::give_up(begun, not_run && flight.untouched))
    }

    /// Returns the refusal of a request that waited past its deadline.
    pub fn late() -> Refusal {
        let detail = "the deadline passed in the queue";
        Refusal::not_run(RefusalReason::Deadline, detail)
    }

    /// Returns the refusal of a request under which backend servers broke.
    pub fn barred(not_run: bool) -> Refusal {
        let detail = "backend servers crashed while they ran this request";
        if not_run {
            Refusal::not_run(RefusalReason::Quarantined, detail)
        } else {
            Refusal::maybe_run(RefusalReason::Quarantined, detail)
        }
    }

    /// Returns the refusal of a request that is not tried again.
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

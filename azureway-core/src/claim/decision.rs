//! What follows from the news of a claim.

use std::time::Duration;

use super::{ClaimRecord, ClaimState, ShortAnswer};
use crate::domain::{Refusal, RefusalReason, Request};

/// What follows for a request from the news of its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The request holds its claim and may be sent.
    Proceed(Box<Request>),
    /// An earlier sending has run; its answer is given again.
    ReplayAnswer(ShortAnswer),
    /// The request is refused.
    Refuse(Refusal),
    /// Nobody waits for the request any more.
    Nothing,
}

/// When it is worth asking again for a claim that another sending holds.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl ClaimDecision {
    /// Tells what a claim that another sending holds means for a request.
    pub fn for_existing(request: &Request, record: &ClaimRecord) -> Self {
        if record.fingerprint != request.fingerprint {
            let detail = "the idempotency key was used for another request";
            return Self::Refuse(Refusal::maybe_run(RefusalReason::Duplicate, detail));
        }
        match &record.state {
            ClaimState::Open => Self::Refuse(Self::in_progress()),
            ClaimState::Finished(Some(answer)) => Self::ReplayAnswer(answer.clone()),
            ClaimState::Finished(None) => {
                let detail = "the request has run, and its answer was too long to be kept";
                Self::Refuse(Refusal::maybe_run(RefusalReason::Duplicate, detail))
            }
        }
    }

    /// Returns the refusal of a request whose key runs, or may have run, elsewhere.
    pub fn in_progress() -> Refusal {
        let detail = "an earlier sending with this key is running or has run; it is not run again";
        Refusal::maybe_run(RefusalReason::Duplicate, detail).with_retry(RETRY_AFTER)
    }

    /// Returns the refusal of a request whose claim could not be asked for.
    pub fn unavailable() -> Refusal {
        let detail = "the platform cannot be asked whether the key has run before; this \
                      sending was not run, an earlier one with the same key may have been";
        Refusal::not_run(RefusalReason::ClaimUnavailable, detail).with_retry(RETRY_AFTER)
    }
}

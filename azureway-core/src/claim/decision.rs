//! Decides whether a claimed request is sent, answered by replay or refused.

use std::time::Duration;

use super::{ClaimRecord, ClaimState, ShortAnswer};
use crate::domain::{Refusal, RefusalReason, Request};

/// The decision about a request once the outcome of its claim is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The request holds its claim and may be sent.
    Proceed(Box<Request>),
    /// An earlier request with the same key has run. Its answer is replayed.
    ReplayAnswer(ShortAnswer),
    /// The request is refused.
    Refuse(Refusal),
    /// No caller waits for the request any more.
    Nothing,
}

/// The time after which the caller may retry while another request holds the claim, or while the
/// platform does not answer.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl ClaimDecision {
    /// Decides about a request whose claim another request holds, with the given record.
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

    /// Returns the refusal of a request while another request with its key runs or may have run.
    pub fn in_progress() -> Refusal {
        let detail = "an earlier request with this key is running or has run; it is not run again";
        Refusal::maybe_run(RefusalReason::Duplicate, detail).with_retry(RETRY_AFTER)
    }

    /// Returns the refusal of a request whose claim the platform could not confirm.
    pub fn unavailable() -> Refusal {
        let detail = "the platform did not say whether the key was used before; this request \
                      was not run, but an earlier one with the same key may have been";
        Refusal::not_run(RefusalReason::ClaimUnavailable, detail).with_retry(RETRY_AFTER)
    }
}

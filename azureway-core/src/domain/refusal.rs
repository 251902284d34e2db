//! The answer to a caller whose request is not served.

use std::time::Duration;

use super::RefusalReason;

/// The refusal of a request, which states whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether it is certain that no backend server has run the request.
    pub not_run: bool,
    /// The time after which the caller may send the request again, if a retry can help.
    pub retry_after: Option<Duration>,
    /// A message that tells the caller what can be done.
    pub detail: Box<str>,
}

impl Refusal {
    /// Creates a refusal of a request that no backend server has run.
    pub fn not_run(reason: RefusalReason, detail: &str) -> Self {
        Self::new(reason, true, detail)
    }

    /// Creates a refusal of a request that may have run in full or in part.
    pub fn maybe_run(reason: RefusalReason, detail: &str) -> Self {
        Self::new(reason, false, detail)
    }

    /// Creates a refusal of a request that no backend server has run if `not_run` is set, and that may
    /// have run otherwise.
    pub fn new(reason: RefusalReason, not_run: bool, detail: &str) -> Self {
        let retry_after = reason.retry_after().filter(|_| not_run);
        Self {
            reason,
            not_run,
            retry_after,
            detail: detail.into(),
        }
    }

    /// Sets the time after which the caller may send the request again.
    #[must_use]
    pub fn with_retry(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

//! The state of a claim, which shows whether the request that holds it has run.

use super::ShortAnswer;

/// The execution state of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The request may be running, may have run, or may never run.
    Open,
    /// The request has run to completion. The answer is stored if it is short.
    Finished(Option<ShortAnswer>),
}

//! How far the run behind a claim has come.

use super::ShortAnswer;

/// How far the run behind a claim has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The request may be running, may have run, or may never run.
    Open,
    /// The request has run to its end. The answer is kept if it is short.
    Finished(Option<ShortAnswer>),
}

//! What follows from the news of a claim.

use super::ShortAnswer;
use crate::domain::{Refusal, Request};

/// What follows for a request from the news of its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The request holds its claim and may be sent.
    Go(Box<Request>),
    /// An earlier sending has run; its answer is given again.
    Repeat(ShortAnswer),
    /// The request is refused.
    Refuse(Refusal),
    /// Nobody waits for the request any more.
    Nothing,
}

//! The tally's record of a request until it ends.

use crate::domain::{Deadline, Rank, Request, RequestKind, Timestamp, Worth};

/// The properties of a request that are kept until its outcome is counted.
#[derive(Clone, Copy, Debug)]
pub struct OpenRequest {
    /// The rank of the request.
    pub rank: Rank,
    /// Whether it may run more than once.
    pub kind: RequestKind,
    /// The worth of an answer that meets the deadline.
    pub worth: Worth,
    /// The deadline of the first token.
    pub deadline: Deadline,
    /// The time of the first token, once it has arrived.
    pub first_token: Option<Timestamp>,
}

impl From<&Request> for OpenRequest {
    fn from(request: &Request) -> Self {
        Self {
            rank: request.rank,
            kind: request.kind,
            worth: request.worth,
            deadline: request.deadline,
            first_token: None,
        }
    }
}

//! A request that is not counted yet.

use crate::domain::{Deadline, Rank, Request, RequestKind, Timestamp, Worth};

/// What is kept of a request until it ends.
#[derive(Clone, Copy, Debug)]
pub struct OpenRequest {
    /// The rank.
    pub rank: Rank,
    /// Whether it may run more than once.
    pub kind: RequestKind,
    /// What an answer in time is worth.
    pub worth: Worth,
    /// When the first token must have come.
    pub deadline: Deadline,
    /// When the first token came.
    pub first: Option<Timestamp>,
}

impl From<&Request> for OpenRequest {
    fn from(request: &Request) -> Self {
        Self {
            rank: request.rank,
            kind: request.kind,
            worth: request.worth,
            deadline: request.deadline,
            first: None,
        }
    }
}

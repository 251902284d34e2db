//! The bad end of a try.

use super::{FailureKind, SendState};
use crate::domain::{Attempt, StreamPosition};

/// The bad end of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The try.
    pub attempt: Attempt,
    /// How it failed.
    pub kind: FailureKind,
    /// Whether the server may have run the request.
    pub sent: SendState,
    /// The position up to which the caller has the stream.
    pub position: StreamPosition,
}

impl Failure {
    /// Tells whether the server itself said that it has no room.
    pub fn is_capacity_rejection(&self) -> bool {
        self.kind == FailureKind::Busy && self.sent == SendState::Rejected
    }
}

//! A driver's report about an attempt that failed.

use super::{FailureKind, SendState};
use crate::domain::{Attempt, StreamPosition};

/// The failure of an attempt, as the sender observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The attempt that failed.
    pub attempt: Attempt,
    /// The way in which the attempt failed.
    pub kind: FailureKind,
    /// Whether the server may have run the request.
    pub sent: SendState,
    /// The stream position that the caller has received.
    pub position: StreamPosition,
}

impl Failure {
    /// Returns whether the server itself rejected the request for lack of capacity.
    pub fn is_capacity_rejection(&self) -> bool {
        self.kind == FailureKind::Busy && self.sent == SendState::Rejected
    }
}

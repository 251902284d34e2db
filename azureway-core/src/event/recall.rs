//! The data that a driver needs to recall an attempt that has not begun.

use super::RecallCause;
use crate::domain::{Attempt, ServerId, Timestamp};

/// An instruction to cancel an attempt unless its answer has begun.
///
/// The driver reports a recalled attempt as failed, since only it knows what the caller has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recall {
    /// The attempt.
    pub attempt: Attempt,
    /// The server that it was sent to.
    pub server: ServerId,
    /// The reason.
    pub cause: RecallCause,
    /// The time at which the attempt was sent.
    pub sent: Timestamp,
}

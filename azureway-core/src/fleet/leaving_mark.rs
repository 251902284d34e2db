//! The record that an incarnation of a backend server has announced its leaving.

use std::time::Duration;

use super::LeavingCause;
use crate::domain::{Incarnation, Timestamp};

/// The record that an incarnation of a backend server has announced that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingMark {
    /// The incarnation that leaves, or zero if it is unknown.
    pub incarnation: Incarnation,
    /// How this entry learnt of it.
    pub cause: LeavingCause,
    /// The time at which the mark lapses.
    pub until: Timestamp,
    /// Whether the mark keeps requests from the server. A lapsed one is kept, so that late updates of
    /// other entries do not renew it.
    pub active: bool,
}

impl LeavingMark {
    /// The longest time for which a server gets no requests after an announcement. It covers the time
    /// that a server takes to leave, and bounds the harm of a false announcement.
    pub const TTL: Duration = Duration::from_secs(600);

    /// Creates the mark of an incarnation that announced its leaving, of which this entry learnt at
    /// `now`.
    pub fn new(incarnation: Incarnation, cause: LeavingCause, now: Timestamp) -> Self {
        Self {
            incarnation,
            cause,
            until: now + Self::TTL,
            active: true,
        }
    }
}

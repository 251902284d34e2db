//! A change of the belief that a backend server leaves, for the log.

use super::LeavingCause;
use crate::domain::{Incarnation, ServerId};

/// The beginning or end of the belief that an incarnation of a backend server leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingChange {
    /// The server.
    pub server: ServerId,
    /// The incarnation that is believed to leave, or was.
    pub incarnation: Incarnation,
    /// What began or ended the belief.
    pub cause: LeavingCause,
    /// Whether the belief began.
    pub began: bool,
}

//! The state that a caller's connection shares with the attempts at its request.

use std::sync::Weak;
use std::time::Instant;

use crate::exchange::CancelHandle;

/// The state that a [`CallerLink`](super::CallerLink) guards.
#[derive(Debug, Default)]
pub(super) struct LinkState {
    /// When the disconnect was noticed.
    pub(super) disconnected: Option<Instant>,
    /// The current attempt.
    pub(super) attempt: Weak<CancelHandle>,
}

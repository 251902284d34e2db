//! The link from a caller's connection to the attempt at its request.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::link_state::LinkState;
use crate::exchange::CancelHandle;

/// Stops the attempt at a request as soon as its caller is known to have disconnected. The deciding duty
/// hears of it later if it is behind.
#[derive(Debug, Default)]
pub struct CallerLink {
    state: Mutex<LinkState>,
}

impl CallerLink {
    /// Creates the link of a caller that waits for its answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the handle of the current attempt. Returns `false` if the caller has disconnected, and
    /// the attempt must send nothing.
    pub fn attach(&self, attempt: &Arc<CancelHandle>) -> bool {
        let mut state = self.lock();
        state.attempt = Arc::downgrade(attempt);
        state.disconnected.is_none()
    }

    /// Records that the caller has disconnected, and cancels the current attempt.
    pub fn disconnect(&self) {
        let mut state = self.lock();
        state.disconnected.get_or_insert_with(Instant::now);
        if let Some(attempt) = state.attempt.upgrade() {
            attempt.cancel();
        }
    }

    /// Returns the time since the disconnect was noticed, if there was one.
    pub fn since_disconnect(&self) -> Option<Duration> {
        self.lock().disconnected.map(|at| at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        // The state is consistent even if a thread panicked while it held the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

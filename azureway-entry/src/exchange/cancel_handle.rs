//! A handle by which the deciding duty's thread stops an attempt that is blocked in a read.

use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azureway_core::prelude::RecallCause;

use super::HandleState;

/// Cancels an attempt from another thread by closing its connection, which wakes the thread that
/// reads from it.
#[derive(Debug, Default)]
pub struct CancelHandle {
    state: Mutex<HandleState>,
}

impl CancelHandle {
    /// Creates the handle of an attempt without a connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the connection that the attempt uses. Returns `false` if the attempt was cancelled or
    /// recalled.
    pub fn attach(&self, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.lock();
        state.stream = Some(Arc::clone(stream));
        !state.is_stopped()
    }

    /// Removes the connection from the handle, so that it can return to the pool. Returns `false`
    /// if the attempt was cancelled or recalled.
    pub fn detach(&self) -> bool {
        let mut state = self.lock();
        state.stream = None;
        !state.is_stopped()
    }

    /// Records that the server has sent the head of its answer, after which the attempt is not recalled
    /// for a quarantined part any more. Returns `false` if it was recalled before.
    pub fn answer(&self) -> bool {
        let mut state = self.lock();
        state.answered |= !state.recalled;
        state.answered
    }

    /// Records that the answer begins, after which the attempt is not recalled any more. Returns `false`
    /// if it was recalled before.
    pub fn begin(&self) -> bool {
        let mut state = self.lock();
        state.begun |= !state.recalled;
        state.answered |= state.begun;
        state.begun
    }

    /// Cancels the attempt.
    pub fn cancel(&self) {
        let mut state = self.lock();
        state.cancelled = true;
        state.close();
    }

    /// Recalls the attempt, that is, cancels it unless its answer has begun for `cause`.
    pub fn recall(&self, cause: RecallCause) {
        let mut state = self.lock();
        let begun = match cause {
            RecallCause::Outdated(_) => state.begun,
            RecallCause::Quarantined => state.answered,
        };
        if !begun {
            state.recalled = true;
            state.close();
        }
    }

    /// Returns whether the attempt was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    /// Returns whether the server has sent the head of its answer.
    pub fn is_answered(&self) -> bool {
        self.lock().answered
    }

    /// Returns whether the attempt was recalled.
    pub fn is_recalled(&self) -> bool {
        self.lock().recalled
    }

    fn lock(&self) -> MutexGuard<'_, HandleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

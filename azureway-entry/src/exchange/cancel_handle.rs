//! A handle by which the deciding duty's thread stops an attempt that is blocked in a read.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, PoisonError};

/// Cancels an attempt from another thread by closing its connection, which wakes the thread that
/// reads from it.
#[derive(Debug, Default)]
pub struct CancelHandle {
    /// Whether the attempt was cancelled, and the connection that it uses.
    state: Mutex<(bool, Option<TcpStream>)>,
}

impl CancelHandle {
    /// Creates the handle of an attempt without a connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the connection that the attempt uses. Returns `false` if the attempt was cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be duplicated.
    pub fn attach(&self, stream: &TcpStream) -> io::Result<bool> {
        let duplicate = stream.try_clone()?;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.1 = Some(duplicate);
        Ok(!state.0)
    }

    /// Removes the connection from the handle, so that it can return to the pool. Returns `false`
    /// if the attempt was cancelled.
    pub fn detach(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.1 = None;
        !state.0
    }

    /// Cancels the attempt.
    pub fn cancel(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.0 = true;
        if let Some(stream) = state.1.take() {
            // An error means that the connection is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether the attempt was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).0
    }
}

//! Stopping a try from outside.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, PoisonError};

/// The side of a try that others hold: it stops the try by closing its connection, which
/// wakes the thread that reads it.
#[derive(Debug, Default)]
pub struct CancelHandle {
    state: Mutex<(bool, Option<TcpStream>)>,
}

impl CancelHandle {
    /// Creates the handle of a try that has no connection yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the connection that the try uses. Returns whether the try still runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the system has no descriptor for a second handle of the socket.
    pub fn attach(&self, stream: &TcpStream) -> io::Result<bool> {
        let twin = stream.try_clone()?;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.1 = Some(twin);
        Ok(!state.0)
    }

    /// Lets go of the connection, which then is the pool's. Returns whether the try still ran.
    pub fn detach(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.1 = None;
        !state.0
    }

    /// Stops the try.
    pub fn cancel(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.0 = true;
        if let Some(stream) = state.1.take() {
            // A connection that is closed already needs nothing.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Tells whether the try was stopped.
    pub fn is_cancelled(&self) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).0
    }
}

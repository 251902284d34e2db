//! The state of an attempt that another thread may stop.

use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

/// The state that a [`CancelHandle`](super::CancelHandle) guards.
#[derive(Debug, Default)]
pub struct HandleState {
    /// Whether the attempt was cancelled.
    pub cancelled: bool,
    /// Whether the attempt was recalled.
    pub recalled: bool,
    /// Whether the server has sent the head of its answer.
    pub answered: bool,
    /// Whether the answer has begun.
    pub begun: bool,
    /// The connection that the attempt uses.
    pub stream: Option<Arc<TcpStream>>,
}

impl HandleState {
    /// Returns whether the attempt was cancelled or recalled.
    pub const fn is_stopped(&self) -> bool {
        self.cancelled || self.recalled
    }

    /// Closes the connection, which wakes the thread that reads from it.
    pub fn close(&mut self) {
        if let Some(stream) = self.stream.take() {
            // An error means that the connection is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

//! Registering connections with the duty that detects disconnects.

use std::io;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azureway_core::prelude::RequestId;
use mio::unix::SourceFd;
use mio::{Interest, Registry, Token};

use super::WatchedCallers;
use crate::caller::CallerLink;

/// Registers the connections of callers that wait for an answer, so that disconnects are detected.
#[derive(Clone, Debug)]
pub struct DisconnectWatch {
    registry: Arc<Registry>,
    /// The watched connections by their tokens.
    callers: Arc<Mutex<WatchedCallers>>,
}

impl DisconnectWatch {
    /// Creates a watch that registers connections with `registry`.
    pub fn new(registry: Registry) -> Self {
        Self {
            registry: Arc::new(registry),
            callers: Arc::default(),
        }
    }

    /// Watches the connection of a request. Returns the token to pass to [`end`](Self::end).
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be registered.
    pub fn begin(
        &self,
        stream: &TcpStream,
        id: RequestId,
        link: &Arc<CallerLink>,
    ) -> io::Result<usize> {
        let token = self.lock().insert(id, Arc::clone(link));
        let mut source = SourceFd(&stream.as_raw_fd());
        let registered = self
            .registry
            .register(&mut source, Token(token), Interest::READABLE);
        if registered.is_err() {
            self.lock().remove(token);
        }
        registered.map(|()| token)
    }

    /// Stops watching a connection.
    pub fn end(&self, stream: &TcpStream, token: usize) {
        let mut source = SourceFd(&stream.as_raw_fd());
        if let Err(e) = self.registry.deregister(&mut source) {
            log::warn!(step = "watch callers", error:% = e; "deregistering a connection failed");
        }
        self.lock().remove(token);
    }

    /// Stops the attempt of a caller that has disconnected. Returns its request, if it is still watched.
    pub fn disconnect(&self, token: usize) -> Option<RequestId> {
        let caller = self.lock().get(token);
        let (id, link) = caller?;
        link.disconnect();
        Some(id)
    }

    fn lock(&self) -> MutexGuard<'_, WatchedCallers> {
        // The map is consistent even if a thread panicked while it held the lock.
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

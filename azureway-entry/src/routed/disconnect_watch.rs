//! Registering connections with the duty that detects disconnects.

use std::io;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, PoisonError};

use azureway_core::prelude::RequestId;
use mio::unix::SourceFd;
use mio::{Interest, Registry, Token};

/// Registers the connections of callers that wait for an answer, so that disconnects are detected.
#[derive(Clone, Debug)]
pub struct DisconnectWatch {
    registry: Arc<Registry>,
    /// The requests of the watched connections. The index of a slot is the token of its connection.
    requests: Arc<Mutex<Vec<Option<RequestId>>>>,
}

impl DisconnectWatch {
    /// Creates a watch that registers connections with `registry`.
    pub fn new(registry: Registry) -> Self {
        Self {
            registry: Arc::new(registry),
            requests: Arc::default(),
        }
    }

    /// Watches the connection of a request. Returns the slot to pass to [`end`](Self::end).
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be registered.
    pub fn begin(&self, stream: &TcpStream, id: RequestId) -> io::Result<usize> {
        let slot = self.with_requests(|requests| {
            let free = requests.iter().position(Option::is_none);
            let slot = free.unwrap_or_else(|| {
                requests.push(None);
                requests.len() - 1
            });
            requests[slot] = Some(id);
            slot
        });
        let mut source = SourceFd(&stream.as_raw_fd());
        let registered = self
            .registry
            .register(&mut source, Token(slot), Interest::READABLE);
        if registered.is_err() {
            self.with_requests(|requests| requests[slot] = None);
        }
        registered.map(|()| slot)
    }

    /// Stops watching a connection and frees its slot.
    pub fn end(&self, stream: &TcpStream, slot: usize) {
        let mut source = SourceFd(&stream.as_raw_fd());
        if let Err(e) = self.registry.deregister(&mut source) {
            log::warn!(step = "watch callers", error:% = e; "deregistering a connection failed");
        }
        self.with_requests(|requests| requests[slot] = None);
    }

    /// Returns the request in a slot.
    pub fn request(&self, slot: usize) -> Option<RequestId> {
        self.with_requests(|requests| requests.get(slot).copied().flatten())
    }

    fn with_requests<T>(&self, change: impl FnOnce(&mut Vec<Option<RequestId>>) -> T) -> T {
        // The list is consistent even if a thread panicked while it held the lock.
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut requests)
    }
}

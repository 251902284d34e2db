//! Telling the duty that watches for hang-ups of a connection.

use std::io;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, PoisonError};

use azureway_core::prelude::RequestId;
use mio::unix::SourceFd;
use mio::{Interest, Registry, Token};

/// The side of a connection that wants to know of its caller's hang-up while it waits for an
/// answer.
#[derive(Clone, Debug)]
pub struct DisconnectWatch {
    registry: Arc<Registry>,
    requests: Arc<Mutex<Vec<Option<RequestId>>>>,
}

impl DisconnectWatch {
    /// Creates the side of the poll that `registry` belongs to.
    pub fn new(registry: Registry) -> Self {
        Self {
            registry: Arc::new(registry),
            requests: Arc::default(),
        }
    }

    /// Watches a connection on behalf of a request. Returns the place to end it with.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses.
    pub fn begin(&self, stream: &TcpStream, id: RequestId) -> io::Result<usize> {
        let place = self.with(|requests| {
            let free = requests.iter().position(Option::is_none);
            let place = free.unwrap_or_else(|| {
                requests.push(None);
                requests.len() - 1
            });
            requests[place] = Some(id);
            place
        });
        let mut source = SourceFd(&stream.as_raw_fd());
        let begun = self
            .registry
            .register(&mut source, Token(place), Interest::READABLE);
        if begun.is_err() {
            self.with(|requests| requests[place] = None);
        }
        begun.map(|()| place)
    }

    /// Ends the watch of a connection.
    pub fn end(&self, stream: &TcpStream, place: usize) {
        let mut source = SourceFd(&stream.as_raw_fd());
        if let Err(e) = self.registry.deregister(&mut source) {
            log::warn!(step = "watch callers", error:% = e; "a connection is still watched");
        }
        self.with(|requests| requests[place] = None);
    }

    /// Returns the request at a place.
    pub fn request(&self, place: usize) -> Option<RequestId> {
        self.with(|requests| requests.get(place).copied().flatten())
    }

    fn with<T>(&self, change: impl FnOnce(&mut Vec<Option<RequestId>>) -> T) -> T {
        // The list is whole whatever its last holder did.
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut requests)
    }
}

//! Control of a running feed reader by the deciding duty's thread.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use azureway_core::prelude::Incarnation;

/// The shared control state of a feed reader, which the reader checks between two polls.
#[derive(Debug)]
pub struct ReaderControl {
    address: SocketAddr,
    listed: AtomicU64,
    stopped: AtomicBool,
    resync: AtomicBool,
}

impl ReaderControl {
    /// Creates the control of a reader that polls the server at `address`. Its first poll requests
    /// a snapshot.
    pub const fn new(address: SocketAddr) -> Self {
        let (stopped, resync) = (AtomicBool::new(false), AtomicBool::new(true));
        Self {
            address,
            listed: AtomicU64::new(0),
            stopped,
            resync,
        }
    }

    /// Returns the address of the backend server.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the incarnation that the platform lists.
    pub fn set_listed(&self, incarnation: Incarnation) {
        self.listed.store(incarnation.get(), Ordering::Release);
    }

    /// Returns the incarnation that the platform lists, or zero.
    pub fn listed(&self) -> Incarnation {
        Incarnation::new(self.listed.load(Ordering::Acquire))
    }

    /// Requests the reader to stop.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Returns whether the reader must stop.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Requests a full snapshot of the cache with the next poll.
    pub fn resync(&self) {
        self.resync.store(true, Ordering::Release);
    }

    /// Returns whether a snapshot is requested, and clears the request.
    pub fn take_resync(&self) -> bool {
        self.resync.swap(false, Ordering::AcqRel)
    }
}

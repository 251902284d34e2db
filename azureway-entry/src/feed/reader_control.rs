//! How a hearing thread is steered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use azureway_core::prelude::Incarnation;

/// How a hearing thread is steered; it looks at this between two waits.
#[derive(Debug)]
pub struct ReaderControl {
    address: SocketAddr,
    listed: AtomicU64,
    stopped: AtomicBool,
    whole: AtomicBool,
}

impl ReaderControl {
    /// Creates the steering of a thread that hears the server at `address`.
    pub const fn new(address: SocketAddr) -> Self {
        let (stopped, whole) = (AtomicBool::new(false), AtomicBool::new(true));
        Self {
            address,
            listed: AtomicU64::new(0),
            stopped,
            whole,
        }
    }

    /// Returns the address of the server.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Notes the life that the platform's list names.
    pub fn list(&self, incarnation: Incarnation) {
        self.listed.store(incarnation.get(), Ordering::Release);
    }

    /// Returns the life that the platform's list names, or zero.
    pub fn listed(&self) -> Incarnation {
        Incarnation::new(self.listed.load(Ordering::Acquire))
    }

    /// Tells the thread to stop.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Tells whether the thread has to stop.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Tells the thread to ask for the whole content of the cache.
    pub fn resync(&self) {
        self.whole.store(true, Ordering::Release);
    }

    /// Returns whether the whole content is to be asked for, and forgets it.
    pub fn take_resync(&self) -> bool {
        self.whole.swap(false, Ordering::AcqRel)
    }
}

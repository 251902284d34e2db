//! Control of a running feed reader by the deciding duty's thread.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use azureway_core::prelude::Incarnation;

/// The shared control state of a feed reader, which the reader checks between two polls.
#[derive(Debug)]
pub struct ReaderControl {
    address: SocketAddr,
    listed: AtomicU64,
    stopped: AtomicBool,
    resync: AtomicBool,
    held_until: Mutex<Option<Instant>>,
    released: Condvar,
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
            held_until: Mutex::new(None),
            released: Condvar::new(),
        }
    }

    /// Returns the address of the backend server.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the incarnation that the platform lists. A new one ends a hold.
    pub fn set_listed(&self, incarnation: Incarnation) {
        let before = self.listed.swap(incarnation.get(), Ordering::AcqRel);
        if before < incarnation.get() {
            self.release();
        }
    }

    /// Holds the reader until a server's pause has ended.
    pub fn hold(&self, until: Instant) {
        *self.lock() = Some(until);
    }

    /// Waits until the reader is no longer held or must stop.
    pub fn wait_hold(&self) {
        let mut held = self.lock();
        while let Some(until) = held.filter(|_| !self.is_stopped()) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                *held = None;
            } else {
                let waited = self.released.wait_timeout(held, left);
                held = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        }
    }

    fn release(&self) {
        *self.lock() = None;
        self.released.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        // The time is whole even if a thread panicked while it held the lock.
        self.held_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the incarnation that the platform lists, or zero.
    pub fn listed(&self) -> Incarnation {
        Incarnation::new(self.listed.load(Ordering::Acquire))
    }

    /// Requests the reader to stop.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.release();
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

//! The bound on the bytes that all feeds of an instance receive.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use azureway_core::admit::TokenBucket;
use azureway_core::prelude::TokenCount;

use crate::clock::Clock;

/// Bounds the bytes a second that the feed readers of an instance receive, so that callers and the
/// platform keep most of a slow link. A byte is a token of the bucket.
#[derive(Debug)]
pub struct FeedBudget {
    bucket: Mutex<TokenBucket>,
    /// Notified when a reservation turns out to be too large.
    refunded: Condvar,
    /// Held by the reader that is next, so that only one waits for the bucket to refill.
    turn: Mutex<()>,
    /// The bytes a second.
    rate: f64,
    clock: Clock,
}

/// The part of the link's capacity that feeds may use.
const LINK_SHARE: f64 = 0.2;
/// The bytes a second of a link of one megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

impl FeedBudget {
    /// Creates the budget of an instance whose link carries `link` megabits a second.
    pub fn new(link: f64, clock: Clock) -> Self {
        let rate = link * BYTES_PER_MEGABIT * LINK_SHARE;
        Self {
            bucket: Mutex::new(TokenBucket::new(rate, clock.now())),
            refunded: Condvar::new(),
            turn: Mutex::new(()),
            rate,
            clock,
        }
    }

    /// Waits until the budget allows another poll, and reserves `bytes` for its answer.
    pub fn reserve(&self, bytes: usize) {
        let _turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        let mut bucket = self.bucket();
        while let Err(wait) = bucket.spend(count(bytes), self.rate, self.clock.now()) {
            let waited = self.refunded.wait_timeout(bucket, wait);
            (bucket, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Replaces a reservation by the bytes that were received.
    pub fn settle(&self, reserved: usize, received: usize) {
        self.bucket().adjust(count(reserved), count(received));
        if received < reserved {
            self.refunded.notify_one();
        }
    }

    fn bucket(&self) -> MutexGuard<'_, TokenBucket> {
        // The bucket is consistent even if a thread panicked while it held the lock.
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count(bytes: usize) -> TokenCount {
    TokenCount::new(u64::try_from(bytes).unwrap_or(u64::MAX))
}

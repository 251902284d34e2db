//! The account that all connections and attempts share.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use azureway_core::prelude::{HolderId, MemoryLedger, MemoryLimits};

use super::{AccountState, MemoryHold};
use crate::caller::CallerLink;
use crate::clock::Clock;

/// Bounds the memory that the process holds for others. Clones share the account.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    shared: Arc<(Mutex<AccountState>, Condvar)>,
    clock: Clock,
}

impl MemoryAccount {
    /// Creates an account that nobody uses.
    pub fn new(limits: MemoryLimits, clock: Clock) -> Self {
        let state = AccountState::new(MemoryLedger::new(limits));
        Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            clock,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> MemoryLimits {
        self.lock().ledger.limits()
    }

    /// Returns the memory that is held in bytes, the number of callers that were closed for room, and the
    /// number of times that there was none.
    pub fn usage(&self) -> (usize, u64, u64) {
        let state = self.lock();
        (state.ledger.held(), state.closed, state.refused)
    }

    /// Returns a holder of nothing.
    pub fn open(&self) -> MemoryHold {
        let id = self.lock().ledger.open();
        MemoryHold::new(self.clone(), id)
    }

    /// Closes the caller that has taken nothing for the longest time, if some caller is behind.
    pub fn close_slowest(&self) {
        let mut state = self.lock();
        // Any memory at all: a connection is wanted.
        let chosen = state.choose(1, self.clock.now());
        drop(state);
        if let Some((Some(link), held)) = chosen {
            link.close(held);
        }
    }

    /// Adds `bytes` to what a holder has, for which callers that are behind are closed. Waits for up to
    /// `limit`. Returns `false` if there is no room for them.
    pub(super) fn grow(&self, id: HolderId, bytes: usize, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let mut state = self.lock();
        loop {
            if state.ledger.grow(id, bytes) {
                return true;
            }
            if state.ledger.is_closing(id) {
                state.refused += 1;
                return false;
            }
            let now = self.clock.now();
            if let Some((link, held)) = state.choose(bytes, now) {
                drop(state);
                if let Some(link) = link {
                    link.close(held);
                }
                state = self.lock();
                continue;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.refused += 1;
                return false;
            }
            let next = state.ledger.next_stall(bytes, now);
            state = self.wait(state, next.map_or(left, |t| t.min(left)));
        }
    }

    /// Waits until memory is released, for `limit` at most.
    fn wait<'a>(
        &self,
        mut state: MutexGuard<'a, AccountState>,
        limit: Duration,
    ) -> MutexGuard<'a, AccountState> {
        state.waiting += 1;
        let waited = self.shared.1.wait_timeout(state, limit);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.waiting -= 1;
        state
    }

    /// Removes `bytes` from what a holder has.
    pub(super) fn shrink(&self, id: HolderId, bytes: usize) {
        let mut state = self.lock();
        state.ledger.shrink(id, bytes);
        self.wake(&state);
    }

    /// Records that `bytes` of an answer wait for the caller.
    pub(super) fn queue(&self, id: HolderId, bytes: usize) {
        let now = self.clock.now();
        self.lock().ledger.queue(id, bytes, now);
    }

    /// Records that the caller has taken `bytes` of its answer.
    pub(super) fn take(&self, id: HolderId, bytes: usize) {
        let now = self.clock.now();
        self.lock().ledger.take(id, bytes, now);
    }

    /// Sets the caller that is closed if the holder is chosen.
    pub(super) fn link(&self, id: HolderId, link: &Arc<CallerLink>) {
        self.lock().links.insert(id, Arc::downgrade(link));
    }

    /// Removes a holder with all that it holds.
    pub(super) fn close(&self, id: HolderId) {
        let mut state = self.lock();
        state.ledger.close(id);
        // Dropping a weak link takes no lock.
        state.links.remove(&id);
        self.wake(&state);
    }

    fn wake(&self, state: &AccountState) {
        if state.waiting > 0 {
            self.shared.1.notify_all();
        }
    }

    fn lock(&self) -> MutexGuard<'_, AccountState> {
        // The state is consistent even if a thread panicked while it held the lock.
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The link from a caller's connection to the attempt at its request.

use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use azureway_core::prelude::{AccountId, RequestId};

use super::link_state::LinkState;
use crate::exchange::CancelHandle;
use crate::memory::MemoryHold;

/// Stops the attempt at a request as soon as its caller is known to have disconnected. The deciding duty
/// hears of it later if it is behind.
#[derive(Debug, Default)]
pub struct CallerLink {
    state: Mutex<LinkState>,
    /// The request and the connection of the caller, if it can be closed.
    connection: Option<(RequestId, Arc<TcpStream>)>,
    hold: MemoryHold,
    account: OnceLock<AccountId>,
}

impl CallerLink {
    /// Creates the link of a caller that waits for its answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the link of the caller of request `id`, whose memory is in `hold` and whose connection is
    /// closed if that runs out.
    pub fn with_hold(id: RequestId, stream: Arc<TcpStream>, hold: MemoryHold) -> Arc<Self> {
        let link = Arc::new(Self {
            connection: Some((id, stream)),
            hold,
            ..Self::default()
        });
        link.hold.link(&link);
        link
    }

    /// Returns the memory that is held for the request.
    pub const fn hold(&self) -> &MemoryHold {
        &self.hold
    }

    /// Records the client account, which the log names.
    pub fn set_account(&self, account: &AccountId) {
        // A later attempt is one of the same account.
        let _ = self.account.set(account.clone());
    }

    /// Closes the connection of a caller that reads too slowly, and cancels its attempt. `held` is the
    /// memory that it holds, in bytes.
    pub fn close(&self, held: usize) {
        if let Some((id, stream)) = &self.connection {
            let account = self.account.get().map_or("", AccountId::as_str);
            log::warn!(request:% = id, step = "memory", account = account, bytes = held; "closed a caller that reads too slowly");
            self.disconnect();
            // An error means that the connection is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Stores the handle of the current attempt. Returns `false` if the caller has disconnected, and
    /// the attempt must send nothing.
    pub fn attach(&self, attempt: &Arc<CancelHandle>) -> bool {
        let mut state = self.lock();
        state.attempt = Arc::downgrade(attempt);
        state.disconnected.is_none()
    }

    /// Records that the caller has disconnected, and cancels the current attempt.
    pub fn disconnect(&self) {
        let mut state = self.lock();
        state.disconnected.get_or_insert_with(Instant::now);
        if let Some(attempt) = state.attempt.upgrade() {
            attempt.cancel();
        }
    }

    /// Returns the time since the disconnect was noticed, if there was one.
    pub fn since_disconnect(&self) -> Option<Duration> {
        self.lock().disconnected.map(|at| at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        // The state is consistent even if a thread panicked while it held the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

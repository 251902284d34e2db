//! What is held for one request or connection.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::HolderId;

use super::MemoryAccount;
use crate::caller::CallerLink;

/// The memory that one request or connection has in a [`MemoryAccount`]. Dropping it releases the memory.
/// The default one belongs to no account and has no bound.
#[derive(Debug, Default)]
pub struct MemoryHold {
    account: Option<(MemoryAccount, HolderId)>,
}

/// The time for which an answer or a request waits for room: somewhat longer than it takes until a caller
/// that takes nothing is closed, and shorter than backend servers wait for their readers.
const MAX_WAIT: Duration = Duration::from_millis(2_000);

impl MemoryHold {
    /// Creates the hold of a holder of nothing.
    pub(super) const fn new(account: MemoryAccount, id: HolderId) -> Self {
        Self {
            account: Some((account, id)),
        }
    }

    /// Adds `bytes`, and waits for room if necessary. Returns `false` if there is none.
    #[must_use]
    pub fn grow(&self, bytes: usize) -> bool {
        let grow = |(account, id): &(MemoryAccount, _)| account.grow(*id, bytes, MAX_WAIT);
        self.account.as_ref().is_none_or(grow)
    }

    /// Adds `bytes` if there is room now. Returns `false` if there is none.
    #[must_use]
    pub fn try_grow(&self, bytes: usize) -> bool {
        let grow = |(account, id): &(MemoryAccount, _)| account.grow(*id, bytes, Duration::ZERO);
        self.account.as_ref().is_none_or(grow)
    }

    /// Removes `bytes`.
    pub fn shrink(&self, bytes: usize) {
        if let Some((account, id)) = &self.account {
            account.shrink(*id, bytes);
        }
    }

    /// Records that `bytes` of an answer wait for the caller.
    pub fn queue(&self, bytes: usize) {
        if let Some((account, id)) = &self.account {
            account.queue(*id, bytes);
        }
    }

    /// Records that the caller has taken `bytes` of its answer.
    pub fn take(&self, bytes: usize) {
        if let Some((account, id)) = &self.account {
            account.take(*id, bytes);
        }
    }

    /// Sets the caller that is closed if memory runs out while it is behind.
    pub fn link(&self, link: &Arc<CallerLink>) {
        if let Some((account, id)) = &self.account {
            account.link(*id, link);
        }
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        if let Some((account, id)) = &self.account {
            account.close(*id);
        }
    }
}

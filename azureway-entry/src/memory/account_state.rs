//! The state of a memory account.

use std::collections::HashMap;
use std::sync::{Arc, Weak};

use azureway_core::prelude::{HolderId, MemoryLedger, Timestamp};

use crate::caller::CallerLink;

/// The state that a [`MemoryAccount`](super::MemoryAccount) guards.
#[derive(Debug)]
pub(super) struct AccountState {
    /// Who holds how much.
    pub(super) ledger: MemoryLedger,
    /// The callers that can be closed.
    pub(super) links: HashMap<HolderId, Weak<CallerLink>>,
    /// The number of threads that wait for room.
    pub(super) waiting: usize,
    /// The number of callers that were closed for room.
    pub(super) closed: u64,
    /// The number of times that there was no room.
    pub(super) refused: u64,
}

impl AccountState {
    /// Creates the state of an account that nobody uses.
    pub(super) fn new(ledger: MemoryLedger) -> Self {
        Self {
            ledger,
            links: HashMap::new(),
            waiting: 0,
            closed: 0,
            refused: 0,
        }
    }

    /// Chooses a caller to close so that `bytes` more fit. Returns its link and the bytes that it holds.
    /// The link may be gone already.
    pub(super) fn choose(
        &mut self,
        bytes: usize,
        now: Timestamp,
    ) -> Option<(Option<Arc<CallerLink>>, usize)> {
        let id = self.ledger.close_slowest(bytes, now)?;
        self.closed += 1;
        let link = self.links.get(&id).and_then(Weak::upgrade);
        Some((link, self.ledger.held_by(id)))
    }
}

//! Non-blocking messages from the deciding duty to the duty that stores quarantined parts.

use azureway_core::prelude::QuarantineChange;
use flume::Sender;

/// The deciding duty's handle to the duty that stores quarantined parts, if the daemon has one.
///
/// A change is dropped if the ring is full, since decisions do not wait. Peers are still told of each
/// crash.
#[derive(Clone, Debug, Default)]
pub struct QuarantineClient {
    changes: Option<Sender<QuarantineChange>>,
}

impl QuarantineClient {
    /// Creates the client of a daemon that stores no quarantined parts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the ring that changes are sent to.
    #[must_use]
    pub fn with_ring(mut self, changes: Sender<QuarantineChange>) -> Self {
        self.changes = Some(changes);
        self
    }

    /// Sends a change.
    pub fn submit(&self, change: QuarantineChange) {
        log::warn!(
            step = "quarantine", part:% = change.part(), crashes = change.crashes();
            "the quarantine of a part of prompts changed"
        );
        if let Some(changes) = &self.changes
            && let Err(e) = changes.try_send(change)
        {
            let change = e.into_inner();
            log::warn!(step = "quarantine", part:% = change.part(); "a quarantine is not stored: the ring is full");
        }
    }
}

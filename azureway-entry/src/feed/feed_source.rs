//! The transport of feeds, which differs between kinds of backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::{Error, ServerId};

use super::FeedBatch;
use crate::memory::MemoryHold;

/// Polls the feed of a backend server: its load reports and cache events.
pub trait FeedSource: Clone + Send + 'static {
    /// The pause between two polls, in which events accumulate at the server.
    const INTERVAL: Duration;
    /// Whether a server that asks for a pause is not polled either. A feed that alone tells of a new
    /// incarnation, with which the pause ends, goes on.
    const PAUSES: bool;

    /// Requests the events from position `next` on, or a full snapshot of the cache if `snapshot`
    /// is set, and waits for the answer. What the batch takes stays in `hold`.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not answer, its answer is malformed, or there is no room for it.
    fn poll(
        &mut self,
        server: &ServerId,
        address: SocketAddr,
        next: u64,
        snapshot: bool,
        hold: &MemoryHold,
    ) -> Result<FeedBatch, Error>;
}

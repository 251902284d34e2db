//! The way of news from a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::{Error, ServerId};

use super::FeedBatch;

/// The way of news from a backend server.
pub trait FeedSource: Clone + Send + 'static {
    /// How long news are gathered between two calls.
    const INTERVAL: Duration;

    /// Waits for news after `next`, or for the whole content of the cache.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not answer or is not understood.
    fn poll(
        &mut self,
        server: &ServerId,
        address: SocketAddr,
        next: u64,
        snapshot: bool,
    ) -> Result<FeedBatch, Error>;
}

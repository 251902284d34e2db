//! The way of news from a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::{Error, ServerId};

use super::ServerWord;

/// The way of news from a backend server.
pub trait NewsLink: Clone + Send + 'static {
    /// How long news are gathered between two calls.
    const GAP: Duration;

    /// Waits for news after `next`, or for the whole content of the cache.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not answer or is not understood.
    fn ask(
        &mut self,
        server: &ServerId,
        address: SocketAddr,
        next: u64,
        whole: bool,
    ) -> Result<ServerWord, Error>;
}

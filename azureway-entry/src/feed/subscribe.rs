//! Hearing backend servers.

use azureway_core::prelude::{Fleet, ServerId};

/// Hears what the backend servers of the configuration tell of themselves.
pub trait Subscribe {
    /// Hears the servers of `fleet`, and no others.
    fn reconfigure(&mut self, fleet: &Fleet);

    /// Asks a server for the whole content of its cache.
    fn resync(&self, server: &ServerId);

    /// Stops.
    fn stop(&self);
}

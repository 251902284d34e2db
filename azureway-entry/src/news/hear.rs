//! Hearing backend servers.

use azureway_core::prelude::{Fleet, ServerId};

/// Hears what the backend servers of the configuration tell of themselves.
pub trait Hear {
    /// Hears the servers of `fleet`, and no others.
    fn adopt(&mut self, fleet: &Fleet);

    /// Asks a server for the whole content of its cache.
    fn resync(&self, server: &ServerId);

    /// Stops.
    fn stop(&self);
}

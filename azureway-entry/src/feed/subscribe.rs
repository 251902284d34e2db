//! The interface that the deciding duty requires of the feeds of backend servers.

use std::time::Instant;

use azureway_core::prelude::{FeedAudience, Fleet, ServerId};

/// Subscribes to the load reports and cache events of the configured backend servers.
pub trait Subscribe {
    /// Subscribes to exactly the servers of `fleet`. Those in `held` asked for a pause: none of them is
    /// polled before the time given with it, even if its subscription is new.
    fn reconfigure(&mut self, fleet: &Fleet, held: &[(ServerId, Instant)]);

    /// Selects the servers whose feed this entry reads, of those whose number of polls is bounded. Before
    /// the first call it reads none of these.
    fn set_audience(&mut self, audience: FeedAudience, fleet: &Fleet, held: &[(ServerId, Instant)]);

    /// Requests a full snapshot of a server's cache.
    fn resync(&self, server: &ServerId);

    /// Stops polling a server that asked for a pause, until it has ended or the server has restarted.
    fn hold(&self, server: &ServerId, until: Instant);

    /// Stops every subscription.
    fn stop(&self);
}

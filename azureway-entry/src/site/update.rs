//! Updates from the site watchers to the site duty.

use azureway_core::prelude::{ListedServer, NamedWeights, ServerId, SiteDocument, Timestamp};

/// An update from a site watcher. The optional time is when the platform last recovered from an
/// outage.
#[derive(Clone, Debug)]
pub enum SiteUpdate {
    /// A version of the configuration.
    Document(Box<SiteDocument>),
    /// The complete list of backend servers.
    Servers(Vec<ListedServer>, Option<Timestamp>),
    /// The new or changed entry of a backend server.
    Server(Box<ListedServer>),
    /// A backend server whose entry was removed or cannot be decoded.
    Removed(ServerId, Option<Timestamp>),
    /// Weights that an operator named, and the earliest time at which that can have happened.
    Weights(NamedWeights, Timestamp),
}

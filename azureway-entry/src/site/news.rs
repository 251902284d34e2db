//! What was read of a site.

use azureway_core::prelude::{ListedServer, NamedWeights, ServerId, SiteDocument, Timestamp};

/// What was read of a site. The time, where there is one, is when the platform came back after
/// it could not be asked.
#[derive(Clone, Debug)]
pub enum SiteNews {
    /// A version of the configuration.
    Document(Box<SiteDocument>),
    /// The whole list of backend servers.
    Servers(Vec<ListedServer>, Option<Timestamp>),
    /// The entry of one backend server.
    Server(Box<ListedServer>),
    /// The entry of a backend server is gone.
    Gone(ServerId, Option<Timestamp>),
    /// Weights that an operator named, at this time at the earliest.
    Weights(NamedWeights, Timestamp),
}

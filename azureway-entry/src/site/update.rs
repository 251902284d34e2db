//! The input of the site duty: configurations, backend servers and named weights.

use azureway_core::prelude::{
    Disturbance, ListedServer, ModelId, NamedWeights, QuarantineChange, ServerId, SiteDocument,
    Timestamp, WeightsVersion,
};

/// An update from a site watcher. An optional time is when the platform last recovered from an
/// outage.
#[derive(Clone, Debug)]
pub enum SiteUpdate {
    /// A version of the configuration.
    Document(Box<SiteDocument>),
    /// The complete list of backend servers.
    Servers(Vec<ListedServer>, Option<Timestamp>),
    /// A backend server that was listed or whose listing changed.
    Server(Box<ListedServer>),
    /// A backend server that is no longer listed or whose object cannot be decoded.
    Removed(ServerId, Option<Timestamp>),
    /// The time until which the updates before this one include every change of the list of servers.
    ListedUntil(Timestamp, Option<Timestamp>),
    /// A change of the quarantined parts of prompts.
    Quarantine(QuarantineChange),
    /// The platform was restored from a copy and may have lost quarantined parts.
    QuarantinesLost,
    /// A disturbance of the platform has ended.
    Disturbed(Disturbance),
    /// Weights that an operator named, and the earliest time at which that can have happened.
    Weights(NamedWeights, Timestamp),
    /// The time until which the updates before this one include all weights that were named, and every
    /// disturbance of the platform.
    NamedUntil(Timestamp),
    /// The platform's store holds that the weights of a model older than these were given up.
    Retired(ModelId, WeightsVersion),
}

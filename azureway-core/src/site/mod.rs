//! A site whose platform lists its backend servers and holds its configuration.
//!
//! The configuration document, the list of servers and the named weights change independently.
//! [`SiteState`] keeps the latest state of each and combines them into one
//! [`Fleet`](crate::fleet::Fleet).

mod document;
mod left_servers;
mod listed_server;
mod named_weights;
mod retired_weights;
mod rollouts;
mod service;
mod state;

pub use document::SiteDocument;
use left_servers::LeftServers;
pub use listed_server::ListedServer;
pub use named_weights::NamedWeights;
use retired_weights::RetiredWeights;
pub use rollouts::Rollouts;
pub use service::SiteService;
pub use state::{ANONYMOUS, EXPIRY_TIMEOUT, SiteState};

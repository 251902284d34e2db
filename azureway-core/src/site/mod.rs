//! A site whose platform lists its backend servers and holds its configuration.
//!
//! A document, the list of servers and the weights that are named change each by themselves.
//! [`SiteState`] keeps what was last heard of each and composes one
//! [`Fleet`](crate::fleet::Fleet) of them.

mod document;
mod listed_server;
mod named_weights;
mod service;
mod state;

pub use document::SiteDocument;
pub use listed_server::ListedServer;
pub use named_weights::NamedWeights;
pub use service::SiteService;
pub use state::{ANONYMOUS, SiteState};

//! A site whose platform lists its backend servers and holds its configuration.
//!
//! A document, the list of servers and the weights that are named change each by themselves.
//! [`SiteState`] keeps what was last heard of each and composes one
//! [`Fleet`](crate::fleet::Fleet) of them.

mod document;
mod named_weights;
mod server_entry;
mod service;
mod state;

pub use document::SiteDocument;
pub use named_weights::NamedWeights;
pub use server_entry::ServerEntry;
pub use service::SiteService;
pub use state::{ANONYMOUS, SiteState};

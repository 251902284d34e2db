//! The deciding duty: the core with its clock, its callers and its helpers.

mod caller;
mod callers;
mod daemon_status;
mod decider;
mod message;
mod owned_cache_update;
mod peer_update;
mod query;
mod version_news;

pub use caller::Caller;
pub use callers::Callers;
pub use daemon_status::DaemonStatus;
pub use decider::Decider;
pub use message::DecideMessage;
pub use owned_cache_update::OwnedCacheUpdate;
pub use peer_update::PeerUpdate;
pub use query::Query;
pub use version_news::VersionNews;

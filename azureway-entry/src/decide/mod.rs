//! The deciding duty: drives the core's router with the clock and carries out its actions.

mod daemon_status;
mod decider;
mod decision_log;
mod dispatches;
mod message;
mod owned_cache_update;
mod peer_update;
mod pending_request;
mod pending_requests;
mod queries;
mod query;
mod server_notices;
mod version_tracker;

pub use daemon_status::DaemonStatus;
pub use decider::Decider;
pub use message::DecideMessage;
pub use owned_cache_update::OwnedCacheUpdate;
pub use peer_update::PeerUpdate;
pub use pending_request::PendingRequest;
pub use pending_requests::PendingRequests;
pub use query::Query;
pub use version_tracker::VersionTracker;

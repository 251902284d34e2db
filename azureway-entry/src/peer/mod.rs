//! The peer duty: membership, gossip and configuration exchange between entry instances.

mod call_permits;
mod document;
mod peer_call;
mod peer_client;
mod peer_connections;
mod peer_duty;
mod peer_message;
mod peer_rings;
mod peer_service;
mod zone_asker;

pub use call_permits::CallPermits;
pub use document::Document;
pub use peer_call::PeerCall;
pub use peer_client::PeerClient;
pub use peer_connections::PeerConnections;
pub use peer_duty::PeerDuty;
pub use peer_message::PeerMessage;
pub use peer_rings::PeerRings;
pub use peer_service::PeerService;
pub use zone_asker::ZoneAsker;

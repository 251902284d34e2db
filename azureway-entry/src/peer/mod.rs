//! The peer duty: what entry instances tell one another.

mod document;
mod peer_call;
mod peer_client;
mod peer_duty;
mod peer_links;
mod peer_message;
mod peer_rings;
mod peer_service;

pub use document::Document;
pub use peer_call::PeerCall;
pub use peer_client::PeerClient;
pub use peer_duty::PeerDuty;
pub use peer_links::PeerLinks;
pub use peer_message::PeerMessage;
pub use peer_rings::PeerRings;
pub use peer_service::PeerService;

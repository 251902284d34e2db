//! The interface between entry instances.

mod heartbeat;
mod instance;
mod invalid_field;
mod news;
mod object;
mod zone_demand;

#[path = "../gen/azureway.peer.v1.rs"]
#[allow(
    clippy::all,
    clippy::allow_attributes,
    missing_docs,
    unreachable_pub,
    reason = "the generated code does not follow the lints of the workspace"
)]
mod generated;

pub use generated::peer_client::PeerClient;
pub use generated::peer_server::{Peer, PeerServer};
pub use generated::{
    ChangesReply, ChangesRequest, Demand, FetchReply, FetchRequest, Heartbeat, Instance, Loading,
    Member, News, Object, Server, Strike, ZoneDemand, news::Subject,
};

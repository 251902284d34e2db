//! The part of a site's state that the platform lists for each backend server.

use std::net::SocketAddr;

use crate::domain::{Incarnation, ServerId, ServiceId, WeightsVersion, ZoneId};

/// A backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// The name of the server.
    pub id: ServerId,
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// The address on which the server accepts requests.
    pub address: SocketAddr,
    /// The availability zone of the server.
    pub zone: ZoneId,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is shutting down.
    pub leaving: bool,
    /// The incarnation of the server, which is greater after each restart.
    pub incarnation: Incarnation,
    /// The weights that the server has loaded, if it serves a model.
    pub weights: Option<WeightsVersion>,
}

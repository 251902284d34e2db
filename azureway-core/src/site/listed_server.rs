//! A backend server in the platform's list.

use std::net::SocketAddr;

use crate::domain::{Incarnation, ServerId, ServiceId, WeightsVersion, ZoneId};

/// A backend server as the platform's list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// The name.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address that it serves on.
    pub address: SocketAddr,
    /// The availability zone that it stands in.
    pub zone: ZoneId,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its life.
    pub incarnation: Incarnation,
    /// The weights that it has loaded, where it serves a model.
    pub weights: Option<WeightsVersion>,
}

//! An instance of the system.

use std::net::SocketAddr;

use super::{Incarnation, InstanceId, ZoneId};

/// An entry instance of the system, as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The name.
    pub id: InstanceId,
    /// The availability zone that it stands in.
    pub zone: ZoneId,
    /// The address that peers reach it on.
    pub address: SocketAddr,
    /// The incarnation that was last heard of.
    pub incarnation: Incarnation,
}

impl Instance {
    /// Creates an instance of which no incarnation has been heard.
    pub fn new(id: InstanceId, zone: ZoneId, address: SocketAddr) -> Self {
        Self {
            id,
            zone,
            address,
            incarnation: Incarnation::ZERO,
        }
    }

    /// Sets the incarnation.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }
}

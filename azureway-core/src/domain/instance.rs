//! The name, zone and address under which peers reach an entry instance.

use std::net::SocketAddr;

use super::{Incarnation, InstanceId, ZoneId};

/// An entry instance of the system as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The name of the instance.
    pub id: InstanceId,
    /// The availability zone that the instance runs in.
    pub zone: ZoneId,
    /// The address that peers reach the instance on.
    pub address: SocketAddr,
    /// The latest known incarnation.
    pub incarnation: Incarnation,
}

impl Instance {
    /// Creates an instance whose incarnation is not known yet.
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

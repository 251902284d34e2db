//! The settings of one entry daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use azureway_core::prelude::{Instance, InstanceId, KeyHash, ZoneId};

use super::{Bounds, SiteSettings};

/// The settings of one entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The address that callers reach.
    pub listen: SocketAddr,
    /// The address that peers reach.
    pub peer: SocketAddr,
    /// The address that operators reach.
    pub admin: SocketAddr,
    /// The digest of the operators' key, where the entry asks for one.
    pub operator_key: Option<KeyHash>,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The other entry instances.
    pub peers: Vec<Instance>,
    /// The bounds.
    pub bounds: Bounds,
    /// The site that the entry serves, where it serves one.
    pub site: Option<SiteSettings>,
}

impl EntrySettings {
    /// Creates settings that listen on any free loopback port and know no peers.
    pub fn new(instance: InstanceId, zone: ZoneId, platform: SocketAddr) -> Self {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let bounds = Bounds::new();
        Self {
            instance,
            zone,
            listen: any,
            peer: any,
            admin: any,
            operator_key: None,
            platform,
            peers: Vec::new(),
            bounds,
            site: None,
        }
    }

    /// Sets the address that callers reach.
    #[must_use]
    pub fn with_listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the address that operators reach.
    #[must_use]
    pub fn with_admin(mut self, admin: SocketAddr) -> Self {
        self.admin = admin;
        self
    }

    /// Sets the digest of the operators' key.
    #[must_use]
    pub fn with_operator_key(mut self, operator_key: KeyHash) -> Self {
        self.operator_key = Some(operator_key);
        self
    }

    /// Sets the bounds.
    #[must_use]
    pub fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }
}

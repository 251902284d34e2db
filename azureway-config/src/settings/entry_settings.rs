//! The parsed settings that an entry daemon is started with.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use azureway_core::prelude::{Instance, InstanceId, KeyHash, ZoneId};

use super::{Bounds, SiteSettings};

/// The settings of one entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// The name of this entry instance.
    pub instance: InstanceId,
    /// The availability zone of this instance.
    pub zone: ZoneId,
    /// The address to listen on for callers.
    pub listen: SocketAddr,
    /// The address to listen on for the other entry instances.
    pub peer: SocketAddr,
    /// The address to listen on for operators.
    pub admin: SocketAddr,
    /// The digest of the operators' key, if the daemon requires one.
    pub operator_key: Option<KeyHash>,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The other entry instances that are configured.
    pub peers: Vec<Instance>,
    /// The resource limits and timeouts.
    pub bounds: Bounds,
    /// The settings of the site that the daemon serves, if it serves one.
    pub site: Option<SiteSettings>,
}

impl EntrySettings {
    /// Creates settings that listen on free loopback ports and have no peers.
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

    /// Sets the address to listen on for callers.
    #[must_use]
    pub fn with_listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the address to listen on for operators.
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

    /// Sets the resource limits and timeouts.
    #[must_use]
    pub fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }
}

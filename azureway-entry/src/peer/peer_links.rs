//! The connections to peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::{Error, ErrorKind, Instance, InstanceId, Step};
use tonic::transport::{Channel, Endpoint};

/// The connections to peers, which are kept from one heartbeat to the next.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: BTreeMap<InstanceId, (SocketAddr, Channel)>,
}

/// The connections that are kept at most.
const LINKS_MAX: usize = 64;
/// The limit of making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

impl PeerLinks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a connection to a peer, which is made by its first call.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is no valid one.
    pub fn get(&mut self, peer: &Instance) -> Result<Channel, Error> {
        match self.links.get(&peer.id) {
            Some((address, link)) if *address == peer.address => return Ok(link.clone()),
            _ => {}
        }
        if self.links.len() >= LINKS_MAX {
            self.links.pop_first();
        }
        let link = Self::open(peer)?;
        let kept = (peer.address, link.clone());
        self.links.insert(peer.id.clone(), kept);
        Ok(link)
    }

    /// Drops the connection to a peer. It may have gone silent while a new one works.
    pub fn drop_link(&mut self, peer: &InstanceId) {
        self.links.remove(peer);
    }

    /// Returns a new connection to a peer that is not kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is no valid one.
    pub fn open(peer: &Instance) -> Result<Channel, Error> {
        const STEP: Step = Step::new("open peer link");
        let endpoint = Endpoint::from_shared(format!("http://{}", peer.address));
        let endpoint =
            endpoint.map_err(|e| Error::new(ErrorKind::Invalid, STEP, e).with_peer(&peer.id))?;
        Ok(endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .connect_lazy())
    }
}

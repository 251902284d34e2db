//! Reuse of gRPC connections to peers between calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::{Error, ErrorKind, Instance, InstanceId, Step};
use tonic::transport::{Channel, Endpoint};

/// The open connections to peers, which are reused from one heartbeat to the next.
#[derive(Debug, Default)]
pub struct PeerConnections {
    connections: BTreeMap<InstanceId, (SocketAddr, Channel)>,
}

/// The maximum number of connections that are kept for reuse. Beyond it, the connection to the peer
/// with the lowest ID is dropped.
const CONNECTIONS_MAX: usize = 16;
/// The time limit for establishing a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time that a peer may take to answer a call before the call fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

impl PeerConnections {
    /// Creates an empty set of connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the stored connection to a peer, or a new one. A new connection is established by
    /// the first call over it.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer's address is invalid.
    pub fn get(&mut self, peer: &Instance) -> Result<Channel, Error> {
        match self.connections.get(&peer.id) {
            Some((address, channel)) if *address == peer.address => return Ok(channel.clone()),
            _ => {}
        }
        if self.connections.len() >= CONNECTIONS_MAX {
            self.connections.pop_first();
        }
        let channel = Self::open(peer)?;
        let entry = (peer.address, channel.clone());
        self.connections.insert(peer.id.clone(), entry);
        Ok(channel)
    }

    /// Returns a new connection to a peer for calls that set their own limits.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer's address is invalid.
    pub fn open_long(peer: &Instance) -> Result<Channel, Error> {
        Ok(Self::endpoint(peer)?.connect_lazy())
    }

    /// Drops the stored connection to a peer that did not answer, so that the next call opens a new
    /// one. The old connection may be stuck while the peer is reachable.
    pub fn close(&mut self, peer: &InstanceId) {
        self.connections.remove(peer);
    }

    /// Returns a new connection to a peer without storing it for reuse.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer's address is invalid.
    pub fn open(peer: &Instance) -> Result<Channel, Error> {
        Ok(Self::endpoint(peer)?.timeout(CALL_TIMEOUT).connect_lazy())
    }

    fn endpoint(peer: &Instance) -> Result<Endpoint, Error> {
        const STEP: Step = Step::new("open peer link");
        let endpoint = Endpoint::from_shared(format!("http://{}", peer.address));
        let endpoint =
            endpoint.map_err(|e| Error::new(ErrorKind::Invalid, STEP, e).with_peer(&peer.id))?;
        Ok(endpoint.connect_timeout(CONNECT_TIMEOUT))
    }
}

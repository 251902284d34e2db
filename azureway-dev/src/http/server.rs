//! The server of a stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use anyhow::{Result, anyhow};
use tiny_http::Server;

use super::Service;

/// The server of a stand-in, on a loopback port. Dropping it stops it.
pub struct StandIn {
    server: Arc<Server>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl StandIn {
    /// Starts a server for `service` on any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(service: Arc<impl Service>) -> Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), service)
    }

    /// Starts a server for `service` at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start_at(address: SocketAddr, service: Arc<impl Service>) -> Result<Self> {
        let server = Server::http(address).map_err(|e| anyhow!("listen at {address}: {e}"))?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| anyhow!("no IP address"))?;
        let server = Arc::new(server);
        let requests = Arc::clone(&server);
        let thread = thread::spawn(move || {
            while let Ok(request) = requests.recv() {
                let service = Arc::clone(&service);
                thread::spawn(move || service.answer(request));
            }
        });
        Ok(Self {
            server,
            address,
            thread: Some(thread),
        })
    }

    /// Returns the address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

//! The HTTP server of a simulated service.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use anyhow::{Result, anyhow};
use tiny_http::Server;

use super::RequestHandler;

/// An HTTP server with a thread for each request. Dropping it stops it.
pub struct HttpServer {
    server: Arc<Server>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Starts a server for `handler` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(handler: Arc<impl RequestHandler>) -> Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), handler)
    }

    /// Starts a server for `handler` at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start_at(address: SocketAddr, handler: Arc<impl RequestHandler>) -> Result<Self> {
        let server = Server::http(address).map_err(|e| anyhow!("listen on {address}: {e}"))?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| anyhow!("the listener has no IP address"))?;
        let server = Arc::new(server);
        let listener = Arc::clone(&server);
        let thread = thread::spawn(move || {
            while let Ok(request) = listener.recv() {
                let handler = Arc::clone(&handler);
                thread::spawn(move || handler.handle(request));
            }
        });
        Ok(Self {
            server,
            address,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

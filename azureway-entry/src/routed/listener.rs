//! The thread that accepts routed callers and limits the number of their connections.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use azureway_config::settings::Bounds;
use azureway_core::prelude::{Error, ErrorKind, Refusal, RefusalReason, Step};

use super::{CallerDialect, DisconnectWatch, RoutedConnection, RoutedResponder, ServingState};
use crate::daemon::Handles;

/// The accepting duty of routed callers: starts a thread for each connection, up to a limit.
#[derive(Debug)]
pub struct RoutedListener<D> {
    listener: TcpListener,
    dialect: D,
    handles: Handles,
    bounds: Bounds,
    serving: ServingState,
    watch: DisconnectWatch,
    connections: Arc<AtomicUsize>,
}

/// The stack size of a connection's thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;

impl<D: CallerDialect> RoutedListener<D> {
    /// Creates the duty and binds `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn new(
        address: SocketAddr,
        dialect: D,
        handles: Handles,
        bounds: Bounds,
        serving: ServingState,
        watch: DisconnectWatch,
    ) -> Result<Self, Error> {
        let failed = |e| {
            Error::new(ErrorKind::System, Step::new("listen for callers"), e).with_peer(address)
        };
        Ok(Self {
            listener: TcpListener::bind(address).map_err(failed)?,
            dialect,
            handles,
            bounds,
            serving,
            watch,
            connections: Arc::default(),
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot report it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        let failed = |e| Error::new(ErrorKind::System, Step::new("listen for callers"), e);
        self.listener.local_addr().map_err(failed)
    }

    /// Accepts connections until the process ends.
    pub fn run(self) {
        for stream in self.listener.incoming() {
            match stream {
                Ok(stream) => self.serve(stream),
                Err(e) => log::warn!(step = "accept", error:% = e; "accepting a connection failed"),
            }
        }
    }

    /// Starts a thread for a connection, or refuses it if too many are open.
    fn serve(&self, stream: TcpStream) {
        if self.connections.fetch_add(1, Ordering::AcqRel) >= self.bounds.connections {
            self.connections.fetch_sub(1, Ordering::AcqRel);
            let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many connections");
            if let Err(e) = RoutedResponder::new(&stream, true).refuse(&refusal) {
                log::debug!(step = "accept", error:% = e; "sending a refusal failed");
            }
            return;
        }
        let connection = RoutedConnection::new(
            stream,
            self.dialect.clone(),
            self.handles.clone(),
            self.serving.clone(),
            self.watch.clone(),
        );
        let connections = Arc::clone(&self.connections);
        let thread = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(STACK_SIZE);
        let spawned = thread.spawn(move || {
            connection.run();
            connections.fetch_sub(1, Ordering::AcqRel);
        });
        if let Err(e) = spawned {
            self.connections.fetch_sub(1, Ordering::AcqRel);
            log::error!(step = "accept", error:% = e; "starting a thread failed");
        }
    }
}

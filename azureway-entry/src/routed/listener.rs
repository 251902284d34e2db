//! The thread that accepts routed callers and limits the number of their connections.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use azureway_config::settings::Bounds;
use azureway_core::prelude::{Error, ErrorKind, Refusal, RefusalReason, Step};
use flume::{Sender, TrySendError};

use super::{CallerDialect, DisconnectWatch, RoutedConnection, RoutedResponder, ServingState};
use crate::caller::Refuser;
use crate::daemon::Handles;
use crate::memory::{CONNECTION_COST, MemoryHold};

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
    refusals: Sender<TcpStream>,
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
        mut bounds: Bounds,
        serving: ServingState,
        watch: DisconnectWatch,
    ) -> Result<Self, Error> {
        bounds.connections = handles.memory.limits().connections;
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
            refusals: Refuser::start(refuse)?,
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
        let Some(hold) = self.admit() else {
            if let Err(TrySendError::Full(stream)) = self.refusals.try_send(stream) {
                // A new connection has room for so little, and the caller may come too late to read it.
                let _ = refuse(&stream);
            }
            return;
        };
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
            drop(hold);
            connections.fetch_sub(1, Ordering::AcqRel);
        });
        if let Err(e) = spawned {
            self.connections.fetch_sub(1, Ordering::AcqRel);
            log::error!(step = "accept", error:% = e; "starting a thread failed");
        }
    }

    /// Counts a connection and returns the memory that is held for it. If there is no room, the slowest reader
    /// is closed, for those that come later.
    fn admit(&self) -> Option<MemoryHold> {
        let hold = self.handles.memory.open();
        let limit = self.bounds.connections;
        if self.connections.fetch_add(1, Ordering::AcqRel) < limit && hold.try_grow(CONNECTION_COST)
        {
            return Some(hold);
        }
        let open = self.connections.fetch_sub(1, Ordering::AcqRel);
        log::warn!(step = "accept", connections = open, limit = limit; "refused a connection");
        self.handles.memory.close_slowest();
        None
    }
}

fn refuse(stream: &TcpStream) -> io::Result<()> {
    let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many connections");
    RoutedResponder::new(stream, true).refuse(&refusal)
}

//! The accepting duty, which starts the callers' connections.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use azureway_config::settings::Bounds;
use azureway_core::prelude::{Error, ErrorKind, Refusal, RefusalReason, Step};

use super::{Connection, Responder};
use crate::daemon::Handles;

/// The accepting duty, which runs each connection in a thread of its own up to a limit.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    handles: Handles,
    bounds: Bounds,
    open: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

/// The stack size of a connection's thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;

impl Listener {
    /// Creates the duty and binds `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn new(
        address: SocketAddr,
        handles: Handles,
        bounds: Bounds,
        stop: Arc<AtomicBool>,
    ) -> Result<Self, Error> {
        let failed = |e| {
            Error::new(ErrorKind::System, Step::new("listen for callers"), e).with_peer(address)
        };
        let listener = TcpListener::bind(address).map_err(failed)?;
        Ok(Self {
            listener,
            handles,
            bounds,
            open: Arc::default(),
            stop,
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot return it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        let failed = |e| Error::new(ErrorKind::System, Step::new("listen for callers"), e);
        self.listener.local_addr().map_err(failed)
    }

    /// Accepts connections until the daemon shuts down.
    pub fn run(self) {
        for stream in self.listener.incoming() {
            if self.stop.load(Ordering::Acquire) {
                break;
            }
            match stream {
                Ok(stream) => self.start(stream),
                Err(e) => log::warn!(step = "accept", error:% = e; "accepting a connection failed"),
            }
        }
    }

    /// Starts the thread of a connection, or refuses it if too many are open.
    fn start(&self, stream: TcpStream) {
        let is_full = self.open.fetch_add(1, Ordering::AcqRel) >= self.bounds.connections;
        if is_full {
            self.open.fetch_sub(1, Ordering::AcqRel);
            let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many connections");
            let _ = Responder::new(&stream).refuse(&refusal);
            return;
        }
        let open = Arc::clone(&self.open);
        let connection = Connection::new(stream, self.handles.clone(), self.bounds.clone());
        let thread = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(STACK_SIZE);
        let count = Arc::clone(&open);
        let spawned = thread.spawn(move || {
            connection.run();
            count.fetch_sub(1, Ordering::AcqRel);
        });
        if let Err(e) = spawned {
            open.fetch_sub(1, Ordering::AcqRel);
            log::error!(step = "accept", error:% = e; "starting the thread of a connection failed");
        }
    }
}

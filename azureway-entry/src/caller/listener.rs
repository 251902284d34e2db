//! The accepting duty, which starts the callers' connections.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use azureway_config::settings::Bounds;
use azureway_core::prelude::{Error, ErrorKind, Refusal, RefusalReason, Step};
use flume::{Sender, TrySendError};

use super::{Connection, Refuser, Responder};
use crate::daemon::Handles;
use crate::memory::{CONNECTION_COST, MemoryHold};

/// The accepting duty, which runs each connection in a thread of its own up to a limit.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    handles: Handles,
    bounds: Bounds,
    open: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    refusals: Sender<TcpStream>,
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
        mut bounds: Bounds,
        stop: Arc<AtomicBool>,
    ) -> Result<Self, Error> {
        bounds.connections = handles.memory.limits().connections;
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
            refusals: Refuser::start(refuse)?,
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
        let Some(hold) = self.admit() else {
            if let Err(TrySendError::Full(stream)) = self.refusals.try_send(stream) {
                // A new connection has room for so little, and the caller may come too late to read it.
                let _ = refuse(&stream);
            }
            return;
        };
        let open = Arc::clone(&self.open);
        let connection = Connection::new(stream, self.handles.clone(), self.bounds.clone());
        let thread = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(STACK_SIZE);
        let count = Arc::clone(&open);
        let spawned = thread.spawn(move || {
            connection.run();
            drop(hold);
            count.fetch_sub(1, Ordering::AcqRel);
        });
        if let Err(e) = spawned {
            open.fetch_sub(1, Ordering::AcqRel);
            log::error!(step = "accept", error:% = e; "starting the thread of a connection failed");
        }
    }

    /// Counts a connection and returns the memory that is held for it. If there is no room, the slowest reader
    /// is closed, for those that come later.
    fn admit(&self) -> Option<MemoryHold> {
        let hold = self.handles.memory.open();
        let limit = self.bounds.connections;
        if self.open.fetch_add(1, Ordering::AcqRel) < limit && hold.try_grow(CONNECTION_COST) {
            return Some(hold);
        }
        let open = self.open.fetch_sub(1, Ordering::AcqRel);
        log::warn!(step = "accept", connections = open, limit = limit; "refused a connection");
        self.handles.memory.close_slowest();
        None
    }
}

fn refuse(stream: &TcpStream) -> io::Result<()> {
    let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many connections");
    Responder::new(stream).refuse(&refusal)
}

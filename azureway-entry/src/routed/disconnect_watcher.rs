//! Cancelling the requests of callers that disconnect, in one thread for all connections.

use std::io;

use azureway_core::prelude::{Error, ErrorKind, Step};
use flume::Sender;
use mio::{Events, Poll};

use super::DisconnectWatch;
use crate::decide::DecideMessage;

/// The duty that watches the connections of requests in flight and cancels the request of a caller
/// that disconnects.
#[derive(Debug)]
pub struct DisconnectWatcher {
    poll: Poll,
    watch: DisconnectWatch,
    decide: Sender<DecideMessage>,
}

/// The largest number of events returned by one poll.
const EVENT_CAPACITY: usize = 128;

impl DisconnectWatcher {
    /// Creates the duty, which reports disconnects to `decide`.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot create the poll.
    pub fn new(decide: Sender<DecideMessage>) -> Result<Self, Error> {
        let failed = |e: io::Error| Error::new(ErrorKind::System, Step::new("watch callers"), e);
        let poll = Poll::new().map_err(failed)?;
        let registry = poll.registry().try_clone().map_err(failed)?;
        Ok(Self {
            poll,
            watch: DisconnectWatch::new(registry),
            decide,
        })
    }

    /// Returns the handle with which connections register themselves.
    pub fn watch(&self) -> DisconnectWatch {
        self.watch.clone()
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            match self.poll.poll(&mut events, None) {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => {
                    log::error!(step = "watch callers", error:% = e; "polling failed, disconnects are no longer detected");
                    return;
                }
            }
            let disconnected = events.iter().filter(|e| e.is_read_closed() || e.is_error());
            for id in disconnected.filter_map(|e| self.watch.disconnect(e.token().0)) {
                log::info!(request:% = id, step = "watch callers"; "the caller hung up");
                if self
                    .decide
                    .send(DecideMessage::CallerDisconnected(id))
                    .is_err()
                {
                    return;
                }
            }
        }
    }
}

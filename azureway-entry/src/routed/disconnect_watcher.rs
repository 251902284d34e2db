//! The duty that watches for callers who hang up.

use std::io;

use azureway_core::prelude::{Error, ErrorKind, Step};
use flume::Sender;
use mio::{Events, Poll};

use super::DisconnectWatch;
use crate::decide::DecideMessage;

/// The duty that watches the connections whose requests are being answered, and takes back
/// the request of a caller who hangs up.
#[derive(Debug)]
pub struct DisconnectWatcher {
    poll: Poll,
    watch: DisconnectWatch,
    decide: Sender<DecideMessage>,
}

/// The events that are taken at once.
const EVENTS: usize = 128;

impl DisconnectWatcher {
    /// Creates the duty.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses.
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

    /// Returns the side of the connections.
    pub fn watch(&self) -> DisconnectWatch {
        self.watch.clone()
    }

    /// Runs for as long as the process does.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            match self.poll.poll(&mut events, None) {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => {
                    log::error!(step = "watch callers", error:% = e; "hang-ups go unnoticed");
                    return;
                }
            }
            let gone = events.iter().filter(|e| e.is_read_closed() || e.is_error());
            for id in gone.filter_map(|e| self.watch.request(e.token().0)) {
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

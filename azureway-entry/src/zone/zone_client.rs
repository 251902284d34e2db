//! Asks the entry that reads the platform for this zone.

use std::time::{Duration, Instant};

use flume::{SendTimeoutError, Sender};

use super::{ZoneChanges, ZoneRequest};
use crate::peer::PeerMessage;

/// Takes the answer to a request: nothing if this entry reads the platform for its zone itself, and an error
/// if no reader answers with recent changes.
pub type ZoneReply = Sender<Option<Result<ZoneChanges, ()>>>;

/// A watcher's handle to the peer duty, which asks a reader of the zone.
#[derive(Clone, Debug)]
pub struct ZoneClient {
    peer: Sender<PeerMessage>,
}

impl ZoneClient {
    /// The time for which an answer may take longer than the wait that was asked for.
    pub const TIMEOUT: Duration = Duration::from_millis(500);

    /// Creates a client that sends to the ring `peer`.
    pub const fn new(peer: Sender<PeerMessage>) -> Self {
        Self { peer }
    }

    /// Asks a reader of the zone and waits for its answer. Returns `None` if this entry reads the platform
    /// for its zone itself.
    ///
    /// # Errors
    ///
    /// Returns an error if no reader answers in time with recent changes.
    pub fn ask(&self, request: ZoneRequest) -> Option<Result<ZoneChanges, ()>> {
        let (reply, answer) = flume::bounded(1);
        let message = PeerMessage::AskZone(request, reply);
        // The peer duty answers within the limit of its call, unless it is held up by its other work.
        let deadline = Instant::now() + request.wait + Self::TIMEOUT * 2;
        match self.peer.send_deadline(message, deadline) {
            Ok(()) => answer.recv_deadline(deadline).unwrap_or(Some(Err(()))),
            Err(SendTimeoutError::Timeout(_)) => Some(Err(())),
            Err(SendTimeoutError::Disconnected(_)) => None,
        }
    }
}

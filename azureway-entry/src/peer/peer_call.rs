//! One call to a peer.

use azureway_core::prelude::{ConfigVersion, Error, ErrorKind, Heartbeat, Instance, Step};
use azureway_wire::peer;
use flume::Sender;
use tonic::Status;
use tonic::transport::Channel;

use super::{Document, PeerLinks, PeerNote};

/// One call to a peer, which ends with a note to the peer duty.
#[derive(Debug)]
pub struct PeerCall {
    peer: Instance,
    link: Channel,
    notes: Sender<PeerNote>,
}

impl PeerCall {
    /// Creates a call over `link`.
    pub const fn new(peer: Instance, link: Channel, notes: Sender<PeerNote>) -> Self {
        Self { peer, link, notes }
    }

    /// Sends a heartbeat, and once more over a new connection if the kept one fails.
    pub async fn exchange(self, beat: peer::Heartbeat) {
        let first = exchange(self.link.clone(), beat.clone()).await;
        let answer = match (first, PeerLinks::open(&self.peer)) {
            (Err(_), Ok(link)) => exchange(link, beat).await,
            (first, _) => first,
        };
        let note = match answer.map_err(|e| self.error(&e)).and_then(|a| read(&a)) {
            Ok(beat) => PeerNote::Answered(Box::new(beat)),
            Err(e) => {
                log::debug!(step = e.step().as_str(), peer:% = self.peer.id, error:% = e; "no answer");
                PeerNote::Missed(self.peer.id.clone())
            }
        };
        let _ = self.notes.send_async(note).await;
    }

    /// Asks for the document if it is newer than `known`.
    pub async fn fetch(self, known: ConfigVersion) {
        let request = peer::FetchRequest {
            newer_than: known.get(),
        };
        let answer = peer::PeerClient::new(self.link.clone())
            .fetch(request)
            .await;
        let note = match answer.map(|a| a.into_inner()) {
            Ok(reply) if reply.version > known.get() => {
                let version = ConfigVersion::new(reply.version);
                PeerNote::Fetched(self.peer.id.clone(), Document::new(version, &reply.text))
            }
            Ok(_) => PeerNote::Unserved(self.peer.id.clone()),
            Err(e) => {
                log::debug!(step = "fetch document", peer:% = self.peer.id, error:% = e; "no document");
                PeerNote::Unserved(self.peer.id.clone())
            }
        };
        let _ = self.notes.send_async(note).await;
    }

    fn error(&self, status: &Status) -> Error {
        Error::new(ErrorKind::Unavailable, Step::new("exchange"), status).with_peer(&self.peer.id)
    }
}

async fn exchange(link: Channel, beat: peer::Heartbeat) -> Result<peer::Heartbeat, Status> {
    let answer = peer::PeerClient::new(link).exchange(beat).await?;
    Ok(answer.into_inner())
}

fn read(answer: &peer::Heartbeat) -> Result<Heartbeat, Error> {
    answer.try_into()
}

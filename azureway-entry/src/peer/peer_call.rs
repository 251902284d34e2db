//! One call to a peer.

use azureway_core::prelude::{ConfigVersion, Error, ErrorKind, Heartbeat, Instance, Step};
use azureway_wire::peer;
use flume::Sender;
use tonic::Status;
use tonic::transport::Channel;

use super::{Document, PeerLinks, PeerMessage};

/// One call to a peer, which ends with a message to the peer duty.
#[derive(Debug)]
pub struct PeerCall {
    peer: Instance,
    link: Channel,
    messages: Sender<PeerMessage>,
}

impl PeerCall {
    /// Creates a call over `link`.
    pub const fn new(peer: Instance, link: Channel, messages: Sender<PeerMessage>) -> Self {
        Self {
            peer,
            link,
            messages,
        }
    }

    /// Sends a heartbeat, and once more over a new connection if the kept one fails.
    pub async fn exchange(self, beat: peer::Heartbeat) {
        let first = exchange(self.link.clone(), beat.clone()).await;
        let answer = match (first, PeerLinks::open(&self.peer)) {
            (Err(_), Ok(link)) => exchange(link, beat).await,
            (first, _) => first,
        };
        let message = match answer.map_err(|e| self.error(&e)).and_then(|a| read(&a)) {
            Ok(beat) => PeerMessage::Reply(Box::new(beat)),
            Err(e) => {
                log::debug!(step = e.step().as_str(), peer:% = self.peer.id, error:% = e; "no answer");
                PeerMessage::Timeout(self.peer.id.clone())
            }
        };
        let _ = self.messages.send_async(message).await;
    }

    /// Asks for the document if it is newer than `known`.
    pub async fn fetch(self, known: ConfigVersion) {
        let request = peer::FetchRequest {
            newer_than: known.get(),
        };
        let answer = peer::PeerClient::new(self.link.clone())
            .fetch(request)
            .await;
        let message = match answer.map(|a| a.into_inner()) {
            Ok(reply) if reply.version > known.get() => {
                let version = ConfigVersion::new(reply.version);
                PeerMessage::Fetched(self.peer.id.clone(), Document::new(version, &reply.text))
            }
            Ok(_) => PeerMessage::FetchFailed(self.peer.id.clone()),
            Err(e) => {
                log::debug!(step = "fetch document", peer:% = self.peer.id, error:% = e; "no document");
                PeerMessage::FetchFailed(self.peer.id.clone())
            }
        };
        let _ = self.messages.send_async(message).await;
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

//! One outgoing call to a peer, run as a task of the peer duty.

use azureway_core::prelude::{ConfigVersion, Error, ErrorKind, Heartbeat, Instance, Step};
use azureway_wire::peer;
use flume::Sender;
use tokio::sync::OwnedSemaphorePermit;
use tonic::Status;
use tonic::transport::Channel;

use super::{Document, PeerConnections, PeerMessage};

/// A single call to a peer, which reports its result to the peer duty.
#[derive(Debug)]
pub struct PeerCall {
    peer: Instance,
    channel: Channel,
    messages: Sender<PeerMessage>,
}

impl PeerCall {
    /// Creates a call to `peer` over `channel` that reports to `messages`.
    pub const fn new(peer: Instance, channel: Channel, messages: Sender<PeerMessage>) -> Self {
        Self {
            peer,
            channel,
            messages,
        }
    }

    /// Sends a heartbeat and retries it once over a new connection if the existing one fails.
    pub async fn exchange(self, heartbeat: peer::Heartbeat) {
        let first = exchange(self.channel.clone(), heartbeat.clone()).await;
        let answer = match (first, PeerConnections::open(&self.peer)) {
            (Err(_), Ok(channel)) => exchange(channel, heartbeat).await,
            (first, _) => first,
        };
        let message = match answer.map_err(|e| self.error(&e)).and_then(|a| read(&a)) {
            Ok(heartbeat) => PeerMessage::Reply(Box::new(heartbeat)),
            Err(e) => {
                log::debug!(step = e.step().as_str(), peer:% = self.peer.id, error:% = e; "a heartbeat to a peer failed");
                PeerMessage::Timeout(self.peer.id.clone())
            }
        };
        let _ = self.messages.send_async(message).await;
    }

    /// Sends an announcement once. `permit` is released when the call has ended.
    pub async fn announce(self, heartbeat: peer::Heartbeat, permit: OwnedSemaphorePermit) {
        if let Err(e) = exchange(self.channel, heartbeat).await {
            log::debug!(step = "announce", peer:% = self.peer.id, error:% = e; "an announcement to a peer failed");
        }
        drop(permit);
    }

    /// Fetches the configuration document of the peer if it is newer than `known`.
    pub async fn fetch(self, known: ConfigVersion) {
        let request = peer::FetchRequest {
            newer_than: known.get(),
        };
        let answer = peer::PeerClient::new(self.channel.clone())
            .fetch(request)
            .await;
        let message = match answer.map(|a| a.into_inner()) {
            Ok(reply) if reply.version > known.get() => {
                let version = ConfigVersion::new(reply.version);
                PeerMessage::Fetched(self.peer.id.clone(), Document::new(version, &reply.text))
            }
            Ok(_) => PeerMessage::FetchFailed(self.peer.id.clone()),
            Err(e) => {
                log::debug!(step = "fetch document", peer:% = self.peer.id, error:% = e; "the fetch of a peer's configuration failed");
                PeerMessage::FetchFailed(self.peer.id.clone())
            }
        };
        let _ = self.messages.send_async(message).await;
    }

    fn error(&self, status: &Status) -> Error {
        Error::new(ErrorKind::Unavailable, Step::new("exchange"), status).with_peer(&self.peer.id)
    }
}

async fn exchange(channel: Channel, heartbeat: peer::Heartbeat) -> Result<peer::Heartbeat, Status> {
    let answer = peer::PeerClient::new(channel).exchange(heartbeat).await?;
    Ok(answer.into_inner())
}

fn read(answer: &peer::Heartbeat) -> Result<Heartbeat, Error> {
    answer.try_into()
}

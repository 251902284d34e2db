//! One outgoing call to a peer, run as a task of the peer duty.

use std::time::Duration;

use azureway_core::prelude::{
    ConfigVersion, Error, ErrorKind, Heartbeat, Instance, Step, StoreEra,
};
use azureway_wire::object::ObjectList;
use azureway_wire::peer;
use flume::Sender;
use tokio::sync::OwnedSemaphorePermit;
use tonic::transport::Channel;
use tonic::{Code, Status};

use super::{Document, PeerConnections, PeerMessage};
use crate::zone::{ZoneChanges, ZoneClient, ZoneReply, ZoneRequest};

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
            (Err(e), Ok(channel)) => {
                self.report_link(&e).await;
                exchange(channel, heartbeat).await
            }
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
        if let Err(e) = exchange(self.channel.clone(), heartbeat).await {
            log::debug!(step = "announce", peer:% = self.peer.id, error:% = e; "an announcement to a peer failed");
            self.report_link(&e).await;
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

    /// Asks the peer for changes of the platform, and passes them to `reply`.
    pub async fn changes(self, request: ZoneRequest, reply: ZoneReply) {
        let message = peer::ChangesRequest {
            kind: request.kind as u32,
            era: request.era.map(StoreEra::get),
            after: request.after,
            wait_ms: u32::try_from(request.wait.as_millis()).unwrap_or(u32::MAX),
            lost: request.lost,
        };
        let mut client = peer::PeerClient::new(self.channel.clone());
        let limit = request.wait + ZoneClient::TIMEOUT;
        let answer = tokio::time::timeout(limit, client.changes(message)).await;
        let answer = answer.unwrap_or_else(|_| Err(Status::deadline_exceeded("no answer")));
        let changes = answer.as_ref().ok().map(|a| read_changes(a.get_ref()));
        // The watcher may have given up.
        let _ = reply.try_send(Some(changes.ok_or(())));
        if let Err(e) = answer {
            log::debug!(step = "ask zone", peer:% = self.peer.id, kind = request.kind.as_str(), error:% = e; "a peer has no recent changes of the platform");
            if e.code() == Code::DeadlineExceeded {
                self.report_link(&e).await;
            }
        }
    }

    /// Reports a connection over which no answer came. It may be stuck while the peer is reachable.
    async fn report_link(&self, status: &Status) {
        log::debug!(step = "peer link", peer:% = self.peer.id, error:% = status; "a connection to a peer gave no answer");
        let message = PeerMessage::LinkFailed(self.peer.id.clone());
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

fn read_changes(reply: &peer::ChangesReply) -> ZoneChanges {
    let objects = reply.objects.iter().cloned();
    ZoneChanges {
        list: ObjectList {
            version: reply.version,
            objects: objects.map(Into::into).collect(),
        },
        whole: reply.whole,
        age: Duration::from_micros(reply.age_us),
        held: Duration::from_micros(reply.held_us),
        changed: reply.changed_us.map(Duration::from_micros),
        recovered: reply.recovered_us.map(Duration::from_micros),
    }
}

//! Incoming gRPC calls of peers, which the peer duty answers.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::{ConfigVersion, Heartbeat, StoreEra};
use azureway_wire::peer;
use flume::Sender;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use super::PeerMessage;
use crate::site::SiteKind;
use crate::zone::{ZoneCache, ZoneRequest};

/// The gRPC service that peers call. It forwards each call to the peer duty and waits for the
/// answer.
#[derive(Clone, Debug)]
pub struct PeerService {
    peer: Sender<PeerMessage>,
    zone: Arc<ZoneCache>,
}

/// The maximum size of a message from a peer, in bytes.
const MESSAGE_MAX: usize = 256 * 1024;

/// The longest time for which a peer's request is held.
const WAIT_MAX: Duration = Duration::from_secs(10);

impl PeerService {
    /// Creates a service that forwards calls to the ring `peer`, and answers those for changes of the
    /// platform from `zone`.
    pub const fn new(peer: Sender<PeerMessage>, zone: Arc<ZoneCache>) -> Self {
        Self { peer, zone }
    }

    /// Serves peers on `listener` until the task is aborted.
    pub async fn serve(self, listener: TcpListener) {
        let result = async {
            listener.set_nonblocking(true)?;
            let listener = tokio::net::TcpListener::from_std(listener)?;
            let service = peer::PeerServer::new(self).max_decoding_message_size(MESSAGE_MAX);
            let server = Server::builder().add_service(service);
            let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
            let end = server.serve_with_incoming(incoming).await;
            end.map_err(std::io::Error::other)
        };
        if let Err(e) = result.await {
            log::error!(step = "serve peers", error:% = e; "the peer service failed; peers cannot reach this instance");
        }
    }

    async fn forward<T>(
        &self,
        message: impl FnOnce(Sender<T>) -> PeerMessage,
    ) -> Result<T, Status> {
        let (reply, answer) = flume::bounded(1);
        let stopped = || Status::unavailable("the instance stops");
        let sent = self.peer.send_async(message(reply)).await;
        sent.map_err(|_| stopped())?;
        answer.recv_async().await.map_err(|_| stopped())
    }
}

#[tonic::async_trait]
impl peer::Peer for PeerService {
    async fn exchange(
        &self,
        request: Request<peer::Heartbeat>,
    ) -> Result<Response<peer::Heartbeat>, Status> {
        let heartbeat = Heartbeat::try_from(request.get_ref());
        let heartbeat = heartbeat.map_err(|e| Status::invalid_argument(e.to_string()))?;
        let heartbeat = Box::new(heartbeat);
        let answer = self
            .forward(|reply| PeerMessage::Heartbeat(heartbeat, reply))
            .await?;
        Ok(Response::new((&answer).into()))
    }

    async fn fetch(
        &self,
        request: Request<peer::FetchRequest>,
    ) -> Result<Response<peer::FetchReply>, Status> {
        let known = ConfigVersion::new(request.get_ref().newer_than);
        let document = self
            .forward(|reply| PeerMessage::FetchRequest(known, reply))
            .await?;
        let reply = document.map_or_else(peer::FetchReply::default, |d| peer::FetchReply {
            version: d.version.get(),
            text: d.text.as_ref().to_owned(),
        });
        Ok(Response::new(reply))
    }

    async fn changes(
        &self,
        request: Request<peer::ChangesRequest>,
    ) -> Result<Response<peer::ChangesReply>, Status> {
        let request = read_request(request.get_ref())?;
        let changes = self.zone.wait(&request).await;
        let unknown = || Status::unavailable("the changes are not known here");
        let changes = changes.ok_or_else(unknown)?;
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Ok(Response::new(peer::ChangesReply {
            version: changes.list.version,
            age_us: micros(changes.age),
            held_us: micros(changes.held),
            changed_us: changes.changed.map(micros),
            recovered_us: changes.recovered.map(micros),
            objects: changes.list.objects.into_iter().map(Into::into).collect(),
            whole: changes.whole,
        }))
    }
}

fn read_request(request: &peer::ChangesRequest) -> Result<ZoneRequest, Status> {
    let index = usize::try_from(request.kind).ok();
    let kind = index.and_then(|i| SiteKind::ALL.get(i).copied());
    Ok(ZoneRequest {
        kind: kind.ok_or_else(|| Status::invalid_argument("no such kind of objects"))?,
        era: request.era.map(StoreEra::new),
        after: request.after,
        wait: Duration::from_millis(request.wait_ms.into()).min(WAIT_MAX),
        lost: request.lost,
        attempt: 0,
    })
}

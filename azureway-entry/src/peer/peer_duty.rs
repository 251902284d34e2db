//! The peer duty itself.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use azureway_config::document;
use azureway_core::prelude::*;
use azureway_wire::peer;
use prost::Message;
use tokio::runtime::{Builder, Runtime};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use super::{Document, PeerCall, PeerLinks, PeerMessage, PeerRings, PeerService};
use crate::admit::AdmitMessage;
use crate::decide::{DecideMessage, PeerUpdate};
use crate::meter::MetricEvent;

/// The peer duty: tells the membership what happened and carries out what it wants done.
///
/// Its thread holds the only asynchronous runtime of the daemon, which the connections to
/// peers need.
#[derive(Debug)]
pub struct PeerDuty {
    core: Membership,
    rings: PeerRings,
    links: PeerLinks,
    document: Option<Document>,
    gate: VersionGate,
    actions: Vec<PeerAction>,
    rounds: u64,
}

/// The longest wait for a message, as a guard against a wake-up that lies out of reach.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// The rounds after which duties are told again which entries are alive.
const TELL_ROUNDS: u64 = 5;
/// The bytes of a message from a peer at most.
const MESSAGE_MAX: usize = 256 * 1024;

impl PeerDuty {
    /// Creates the duty.
    pub fn new(core: Membership, rings: PeerRings) -> Self {
        Self {
            core,
            rings,
            links: PeerLinks::new(),
            document: None,
            gate: VersionGate::new(),
            actions: Vec::new(),
            rounds: 0,
        }
    }

    /// Creates the duty's runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses.
    pub fn runtime() -> Result<Runtime, Error> {
        let runtime = Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build();
        runtime.map_err(|e| Error::new(ErrorKind::System, Step::new("start runtime"), e))
    }

    /// Runs until the daemon stops. Peers reach it on `listener`.
    pub fn run(mut self, runtime: &Runtime, listener: TcpListener) {
        runtime.block_on(async {
            let service = PeerService::new(self.rings.peer.clone());
            let server = tokio::spawn(serve(service, listener));
            self.tell(PeerEvent::Tick).await;
            while let Some(message) = self.receive().await {
                self.take(message).await;
            }
            server.abort();
        });
    }

    /// Returns the next message, an empty one when time passed, or none when the daemon stops.
    async fn receive(&self) -> Option<Option<PeerMessage>> {
        let now = self.rings.clock.now();
        let until = self.core.next_wakeup().min(now + WAIT_MAX);
        let until = tokio::time::Instant::from_std(self.rings.clock.instant(until));
        match tokio::time::timeout_at(until, self.rings.messages.recv_async()).await {
            Err(_) => Some(None),
            Ok(Ok(PeerMessage::Stop) | Err(_)) => None,
            Ok(Ok(message)) => Some(Some(message)),
        }
    }

    async fn take(&mut self, message: Option<PeerMessage>) {
        match message {
            None | Some(PeerMessage::Stop) => self.tell(PeerEvent::Tick).await,
            Some(PeerMessage::Configured(document)) => self.note_document(document).await,
            Some(PeerMessage::Listed(list)) => self.tell(PeerEvent::Listed(&list)).await,
            Some(PeerMessage::Demand(demand)) => self.tell(PeerEvent::Demand(&demand)).await,
            Some(PeerMessage::Strike(strike)) => self.tell(PeerEvent::Strike(&strike)).await,
            Some(PeerMessage::Server(news)) => self.tell(PeerEvent::Server(&news)).await,
            Some(PeerMessage::Loading(loading)) => {
                self.tell(PeerEvent::Loading(&loading)).await;
                self.decide(DecideMessage::Peer(PeerUpdate::Loading(loading)))
                    .await;
            }
            Some(PeerMessage::Heartbeat(beat, reply)) => self.answer(&beat, &reply).await,
            Some(PeerMessage::FetchRequest(known, reply)) => {
                let newer = self.document.as_ref().filter(|d| d.version > known);
                let _ = reply.try_send(newer.cloned());
            }
            Some(PeerMessage::Reply(beat)) => self.tell(PeerEvent::Reply(&beat)).await,
            Some(PeerMessage::Timeout(peer)) => {
                self.links.drop_link(&peer);
                self.tell(PeerEvent::Timeout(&peer)).await;
            }
            Some(PeerMessage::Fetched(peer, document)) => self.fetched(&peer, document).await,
            Some(PeerMessage::FetchFailed(peer)) => self.tell(PeerEvent::FetchFailed(&peer)).await,
            Some(PeerMessage::Leave) => self.tell(PeerEvent::Leaving).await,
        }
    }

    async fn tell(&mut self, event: PeerEvent<'_>) {
        let now = self.rings.clock.now();
        self.core.handle(event, now, &mut self.actions);
        self.carry_out().await;
    }

    /// Answers a heartbeat. The answer goes out before anything that follows from it.
    async fn answer(&mut self, beat: &Heartbeat, reply: &flume::Sender<Heartbeat>) {
        let now = self.rings.clock.now();
        self.core
            .handle(PeerEvent::Heartbeat(beat), now, &mut self.actions);
        for action in &self.actions {
            if let PeerAction::Reply(answer) = action {
                self.count(&peer::Heartbeat::from(answer));
                let _ = reply.try_send(answer.clone());
            }
        }
        self.carry_out().await;
    }

    async fn carry_out(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        let round = actions.iter().any(|a| matches!(a, PeerAction::Send(..)));
        for action in actions {
            match action {
                PeerAction::Send(peer, beat) => self.send(peer, &beat),
                PeerAction::Fetch(peer, known) => self.fetch(peer, known),
                PeerAction::Reply(_) => {}
                PeerAction::LiveCount(count) => {
                    log::info!(step = "membership", count = count; "the live entries of the zone changed");
                    self.decide(DecideMessage::Peer(PeerUpdate::ZoneEntries(count)))
                        .await;
                    self.choose();
                }
                PeerAction::Demand(demand) => {
                    self.decide(DecideMessage::Peer(PeerUpdate::Demand(demand)))
                        .await
                }
                PeerAction::Server(news) => {
                    self.decide(DecideMessage::Peer(PeerUpdate::Server(news)))
                        .await
                }
                PeerAction::Loading(loading) => {
                    self.decide(DecideMessage::Peer(PeerUpdate::Loading(loading)))
                        .await
                }
                PeerAction::Strike(strike) => {
                    self.decide(DecideMessage::Peer(PeerUpdate::Strike(strike)))
                        .await
                }
            }
        }
        if round {
            self.end_round().await;
        }
    }

    async fn end_round(&mut self) {
        self.rounds += 1;
        if self.rounds % TELL_ROUNDS == 1 {
            self.choose();
        }
        let known = self.core.peers().known_count() + 1;
        self.decide(DecideMessage::Peer(PeerUpdate::HeartbeatRound(known)))
            .await;
    }

    /// Waits while the decisions are behind; they never wait for this duty.
    async fn decide(&self, message: DecideMessage) {
        let _ = self.rings.decide.send_async(message).await;
    }

    fn choose(&self) {
        let zone = &self.core.me().zone;
        let live = self.core.peers().live_in_zone(zone);
        let live: Vec<_> = live.map(|m| m.latest.instance.id.clone()).collect();
        self.rings.selection.notify(&live);
    }

    fn send(&mut self, peer: Instance, beat: &Heartbeat) {
        let message = peer::Heartbeat::from(beat);
        self.count(&message);
        let messages = self.rings.peer.clone();
        match self.links.get(&peer) {
            Ok(link) => drop(tokio::spawn(
                PeerCall::new(peer, link, messages).exchange(message),
            )),
            Err(e) => log::error!(step = e.step().as_str(), error:% = e; "no link"),
        }
    }

    fn fetch(&mut self, peer: Instance, known: ConfigVersion) {
        let messages = self.rings.peer.clone();
        match self.links.get(&peer) {
            Ok(link) => drop(tokio::spawn(
                PeerCall::new(peer, link, messages).fetch(known),
            )),
            Err(e) => log::error!(step = e.step().as_str(), error:% = e; "no link"),
        }
    }

    /// Takes over a peer's document as it takes one of the platform's: if it is newer and good.
    async fn fetched(&mut self, peer: &InstanceId, document: Document) {
        if !self.gate.is_newer(document.version) {
            return;
        }
        match document::parse(&document.text, document.version) {
            Ok(fleet) => {
                let fleet = Arc::new(fleet);
                let message = AdmitMessage::Configured(Arc::clone(&fleet));
                let _ = self.rings.admit.send_async(message).await;
                self.decide(DecideMessage::Configured(fleet)).await;
                self.note_document(document).await;
            }
            Err(faults) => {
                self.gate.reject(document.version);
                log::error!(step = "read document", peer:% = peer, version:% = document.version; "{faults}");
                self.tell(PeerEvent::FetchFailed(peer)).await;
            }
        }
    }

    async fn note_document(&mut self, document: Document) {
        let version = document.version;
        if version > self.gate.accepted() {
            self.gate.accept(version);
            self.document = Some(document);
        }
        self.tell(PeerEvent::Version(version)).await;
    }

    /// Counts the bytes of a heartbeat. A measure that finds the ring full is lost.
    fn count(&self, message: &peer::Heartbeat) {
        let measure = MetricEvent::Gossip(message.encoded_len());
        let _ = self.rings.meter.try_send(measure);
    }
}

/// Serves peers until it is aborted.
async fn serve(service: PeerService, listener: TcpListener) {
    let served = async {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let service = peer::PeerServer::new(service).max_decoding_message_size(MESSAGE_MAX);
        let server = Server::builder().add_service(service);
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let end = server.serve_with_incoming(incoming).await;
        end.map_err(std::io::Error::other)
    };
    if let Err(e) = served.await {
        log::error!(step = "serve peers", error:% = e; "peers cannot reach this instance");
    }
}

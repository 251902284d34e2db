//! The duty that runs the membership protocol between entry instances.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use azureway_config::document;
use azureway_core::prelude::*;
use azureway_wire::peer;
use prost::Message;
use tokio::runtime::{Builder, Runtime};

use super::{
    CallPermits, Document, PeerCall, PeerConnections, PeerMessage, PeerRings, PeerService,
};
use crate::admit::AdmitMessage;
use crate::decide::{DecideMessage, PeerUpdate};
use crate::meter::MetricEvent;
use crate::zone::{ZoneReply, ZoneRequest};

/// The peer duty: feeds events into the membership protocol and executes its actions.
///
/// Its thread runs the daemon's only asynchronous runtime, which the gRPC connections to peers
/// need.
#[derive(Debug)]
pub struct PeerDuty {
    membership: Membership,
    rings: PeerRings,
    connections: PeerConnections,
    permits: CallPermits,
    document: Option<Document>,
    gate: VersionGate,
    actions: Vec<PeerAction>,
    rounds: u64,
    /// Whether the platform's list of entry instances was read.
    listed: bool,
    /// The requests to readers of the zone that wait for that list.
    waiting: Vec<(ZoneRequest, ZoneReply)>,
    /// The audience of feeds that the deciding duty was told last.
    audience: Option<FeedAudience>,
}

/// The longest wait for a message. The next wake-up may lie too far in the future for a timer.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// The number of heartbeat rounds after which the selection notifier is called again. It drops a
/// message if a ring is full, so messages have to be repeated.
const NOTIFY_ROUNDS: u64 = 5;

impl PeerDuty {
    /// Creates the duty for `membership`.
    pub fn new(membership: Membership, rings: PeerRings) -> Self {
        Self {
            membership,
            rings,
            connections: PeerConnections::new(),
            permits: CallPermits::new(),
            document: None,
            gate: VersionGate::new(),
            actions: Vec::new(),
            rounds: 0,
            listed: false,
            waiting: Vec::new(),
            audience: None,
        }
    }

    /// Creates the asynchronous runtime of the duty.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot create the runtime.
    pub fn runtime() -> Result<Runtime, Error> {
        let runtime = Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build();
        runtime.map_err(|e| Error::new(ErrorKind::System, Step::new("start runtime"), e))
    }

    /// Runs until the daemon stops, and serves peers on `listener`.
    pub fn run(mut self, runtime: &Runtime, listener: TcpListener) {
        runtime.block_on(async {
            let service = PeerService::new(self.rings.peer.clone(), Arc::clone(&self.rings.zone));
            let server = tokio::spawn(service.serve(listener));
            self.handle(PeerEvent::Tick).await;
            while let Some(message) = self.receive().await {
                self.handle_message(message).await;
            }
            server.abort();
        });
    }

    /// Returns the next message, `Some(None)` at the next wake-up, or `None` when the daemon stops.
    async fn receive(&self) -> Option<Option<PeerMessage>> {
        let now = self.rings.clock.now();
        let wakeup = self.membership.next_wakeup().min(now + WAIT_MAX);
        let wakeup = tokio::time::Instant::from_std(self.rings.clock.instant(wakeup));
        match tokio::time::timeout_at(wakeup, self.rings.messages.recv_async()).await {
            Err(_) => Some(None),
            Ok(Ok(PeerMessage::Stop) | Err(_)) => None,
            Ok(Ok(message)) => Some(Some(message)),
        }
    }

    async fn handle_message(&mut self, message: Option<PeerMessage>) {
        match message {
            None | Some(PeerMessage::Stop) => self.handle(PeerEvent::Tick).await,
            Some(PeerMessage::Configured(document)) => self.record_document(document).await,
            Some(PeerMessage::Listed(list)) => {
                self.listed = true;
                self.handle(PeerEvent::Listed(&list)).await;
                self.send_audience().await;
                self.ask_waiting();
            }
            Some(PeerMessage::Demand(demand)) => self.handle(PeerEvent::Demand(&demand)).await,
            Some(PeerMessage::CrashReport(report)) => {
                self.handle(PeerEvent::CrashReport(&report)).await
            }
            Some(PeerMessage::Server(update)) => self.handle(PeerEvent::Server(&update)).await,
            Some(PeerMessage::Loading(loading)) => {
                self.handle(PeerEvent::Loading(&loading)).await;
                self.send_decide(DecideMessage::Peer(PeerUpdate::Loading(loading)))
                    .await;
            }
            Some(PeerMessage::Heartbeat(heartbeat, reply)) => {
                self.answer_heartbeat(&heartbeat, &reply).await
            }
            Some(PeerMessage::FetchRequest(known, reply)) => {
                let newer = self.document.as_ref().filter(|d| d.version > known);
                let _ = reply.try_send(newer.cloned());
            }
            Some(PeerMessage::Reply(heartbeat)) => self.handle(PeerEvent::Reply(&heartbeat)).await,
            Some(PeerMessage::Timeout(peer)) => {
                self.connections.close(&peer);
                self.handle(PeerEvent::Timeout(&peer)).await;
            }
            Some(PeerMessage::Fetched(peer, document)) => {
                self.apply_document(&peer, document).await
            }
            Some(PeerMessage::FetchFailed(peer)) => {
                self.handle(PeerEvent::FetchFailed(&peer)).await
            }
            // All entries may have started at once. One that has not seen the list yet would take itself for
            // the only one, and read the platform as all the others do.
            Some(PeerMessage::AskZone(request, reply)) if !self.listed => {
                self.waiting.push((request, reply))
            }
            Some(PeerMessage::AskZone(request, reply)) => self.ask_zone(request, reply),
            Some(PeerMessage::Leave) => self.handle(PeerEvent::Leaving).await,
        }
    }

    async fn handle(&mut self, event: PeerEvent<'_>) {
        let now = self.rings.clock.now();
        self.membership.handle(event, now, &mut self.actions);
        self.run_actions().await;
    }

    /// Replies to a heartbeat. The reply is sent before the other actions run.
    async fn answer_heartbeat(&mut self, heartbeat: &Heartbeat, reply: &flume::Sender<Heartbeat>) {
        let now = self.rings.clock.now();
        self.membership
            .handle(PeerEvent::Heartbeat(heartbeat), now, &mut self.actions);
        for action in &self.actions {
            if let PeerAction::Reply(answer) = action {
                self.count_bytes(&peer::Heartbeat::from(answer));
                let _ = reply.try_send(answer.clone());
            }
        }
        self.run_actions().await;
    }

    async fn run_actions(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        let sent_round = actions.iter().any(|a| matches!(a, PeerAction::Send(..)));
        for action in actions {
            match action {
                PeerAction::Send(peer, heartbeat) => self.send(peer, &heartbeat),
                PeerAction::Announce(peer, heartbeat) => self.announce(peer, &heartbeat),
                PeerAction::Fetch(peer, known) => self.fetch(peer, known),
                PeerAction::Reply(_) => {}
                PeerAction::LiveCount(count) => {
                    log::info!(step = "membership", count = count; "the number of live entry instances in the zone changed");
                    self.send_decide(DecideMessage::Peer(PeerUpdate::ZoneEntries(count)))
                        .await;
                    self.notify_selection();
                }
                PeerAction::Demand(demand) => {
                    self.send_decide(DecideMessage::Peer(PeerUpdate::Demand(demand)))
                        .await
                }
                PeerAction::Server(update) => {
                    self.send_decide(DecideMessage::Peer(PeerUpdate::Server(update)))
                        .await
                }
                PeerAction::Loading(loading) => {
                    self.send_decide(DecideMessage::Peer(PeerUpdate::Loading(loading)))
                        .await
                }
                PeerAction::CrashReport(report) => {
                    self.send_decide(DecideMessage::Peer(PeerUpdate::CrashReport(report)))
                        .await
                }
            }
        }
        if sent_round {
            self.end_round().await;
        }
    }

    async fn end_round(&mut self) {
        self.rounds += 1;
        self.ask_waiting();
        if self.rounds % NOTIFY_ROUNDS == 1 {
            self.notify_selection();
        }
        self.send_audience().await;
        let known = self.membership.peers().known_count() + 1;
        self.send_decide(DecideMessage::Peer(PeerUpdate::HeartbeatRound(known)))
            .await;
    }

    /// Tells the deciding duty which entries read feeds, if they have changed. Before the first list of
    /// entries this one cannot know how many there are, and reads none.
    async fn send_audience(&mut self) {
        if !self.listed {
            return;
        }
        // Instances that were listed and not heard yet count, since all may have started at once.
        let peers = self.membership.peers().iter();
        let peers = peers.filter(|m| !m.latest.liveness.is_gone());
        let others = peers.map(|m| {
            let instance = &m.latest.instance;
            (instance.id.clone(), instance.zone.clone())
        });
        let me = self.membership.me();
        let audience = FeedAudience::new(me.id.clone(), me.zone.clone(), others.collect());
        if self.audience.as_ref() != Some(&audience) {
            self.audience = Some(audience.clone());
            self.send_decide(DecideMessage::Audience(audience)).await;
        }
    }

    /// Sends to the deciding duty and waits while its ring is full. The deciding duty never waits
    /// for this one, so they cannot deadlock.
    async fn send_decide(&self, message: DecideMessage) {
        let _ = self.rings.decide.send_async(message).await;
    }

    fn notify_selection(&self) {
        self.rings.selection.notify(&self.live_in_zone());
    }

    fn live_in_zone(&self) -> Vec<InstanceId> {
        let zone = &self.membership.me().zone;
        let live = self.membership.peers().live_in_zone(zone);
        live.map(|m| m.latest.instance.id.clone()).collect()
    }

    /// Returns the peers of the zone that may live. Those that were listed and not heard yet are among them,
    /// since all may have started at once.
    fn known_in_zone(&self) -> Vec<InstanceId> {
        let peers = self.membership.peers();
        let known = peers.in_zone(&self.membership.me().zone);
        let known = known.filter(|m| !m.latest.liveness.is_gone());
        known.map(|m| m.latest.instance.id.clone()).collect()
    }

    /// Makes the requests that waited for the first list of entries. Without one they wait for a round of
    /// heartbeats, and the platform is read then.
    fn ask_waiting(&mut self) {
        for (request, reply) in std::mem::take(&mut self.waiting) {
            self.ask_zone(request, reply);
        }
    }

    /// Asks a peer that reads the platform for the zone, unless this instance does so.
    fn ask_zone(&mut self, request: ZoneRequest, reply: ZoneReply) {
        let known = self.known_in_zone();
        let me = &self.membership.me().id;
        let reader = ZoneReaders::choose(me, &known, request.attempt);
        let member = reader.and_then(|id| self.membership.peers().get(id));
        let Some(instance) = member.map(|m| m.latest.instance.clone()) else {
            let _ = reply.try_send(None);
            return;
        };
        match self.connections.get_long(&instance) {
            Ok(channel) => {
                let call = PeerCall::new(instance, channel, self.rings.peer.clone());
                tokio::spawn(call.changes(request, reply));
            }
            Err(e) => {
                log::error!(step = e.step().as_str(), error:% = e; "cannot connect to a peer");
                let _ = reply.try_send(Some(Err(())));
            }
        }
    }

    fn send(&mut self, peer: Instance, heartbeat: &Heartbeat) {
        let message = self.encode(heartbeat);
        if let Some(call) = self.call(peer) {
            tokio::spawn(call.exchange(message));
        }
    }

    /// Sends an announcement, unless too many earlier ones to the peer are unanswered: it would only
    /// take time and memory from everything else.
    fn announce(&mut self, peer: Instance, heartbeat: &Heartbeat) {
        let Some(permit) = self.permits.acquire(&peer.id) else {
            return;
        };
        let message = self.encode(heartbeat);
        if let Some(call) = self.call(peer) {
            tokio::spawn(call.announce(message, permit));
        }
    }

    fn fetch(&mut self, peer: Instance, known: ConfigVersion) {
        if let Some(call) = self.call(peer) {
            tokio::spawn(call.fetch(known));
        }
    }

    /// Returns a call to a peer, or logs why there is none.
    fn call(&mut self, peer: Instance) -> Option<PeerCall> {
        let channel = self.connections.get(&peer).inspect_err(|e| {
            log::error!(step = e.step().as_str(), error:% = e; "cannot connect to a peer");
        });
        Some(PeerCall::new(peer, channel.ok()?, self.rings.peer.clone()))
    }

    /// Applies a document that was fetched from a peer, if it is newer and valid. The same holds
    /// for documents from the platform.
    async fn apply_document(&mut self, peer: &InstanceId, document: Document) {
        if !self.gate.is_newer(document.version) {
            return;
        }
        match document::parse(&document.text, document.version) {
            Ok(fleet) => {
                let message = AdmitMessage::Configured(Arc::new(fleet));
                let _ = self.rings.admit.send_async(message).await;
                self.record_document(document).await;
            }
            Err(faults) => {
                self.gate.reject(document.version);
                log::error!(step = "read document", peer:% = peer, version:% = document.version; "{faults}");
                self.handle(PeerEvent::FetchFailed(peer)).await;
            }
        }
    }

    async fn record_document(&mut self, document: Document) {
        let version = document.version;
        if version > self.gate.accepted() {
            self.gate.accept(version);
            self.document = Some(document);
        }
        self.handle(PeerEvent::Version(version)).await;
    }

    /// Encodes a heartbeat for a peer, and counts its bytes.
    fn encode(&self, heartbeat: &Heartbeat) -> peer::Heartbeat {
        let message = peer::Heartbeat::from(heartbeat);
        self.count_bytes(&message);
        message
    }

    /// Reports the size of a heartbeat to the measuring duty. The report is dropped if its ring is
    /// full.
    fn count_bytes(&self, message: &peer::Heartbeat) {
        let event = MetricEvent::Gossip(message.encoded_len());
        let _ = self.rings.meter.try_send(event);
    }
}

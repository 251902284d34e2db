//! The duty that runs the membership protocol between entry instances.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use azureway_config::document;
use azureway_core::prelude::*;
use azureway_wire::peer;
use prost::Message;
use tokio::runtime::Runtime;

use super::{
    CallPermits, Document, PeerCall, PeerConnections, PeerMessage, PeerRings, PeerService,
    ZoneAsker,
};
use crate::admit::AdmitMessage;
use crate::decide::{DecideMessage, PeerUpdate};
use crate::meter::MetricEvent;

/// The peer duty: feeds events into the membership protocol and executes its actions.
///
/// Its thread runs an asynchronous runtime, which the gRPC connections to peers need.
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
    zone: ZoneAsker,
}

/// The longest wait for a message. The next wake-up may lie too far in the future for a timer.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// The number of heartbeat rounds after which the selection notifier is called again. It drops a
/// message if a ring is full, so messages have to be repeated.
const NOTIFY_ROUNDS: u64 = 5;

impl PeerDuty {
    /// Creates the duty for `membership`.
    pub fn new(membership: Membership, rings: PeerRings) -> Self {
        let zone = ZoneAsker::new(rings.peer.clone());
        Self {
            membership,
            rings,
            connections: PeerConnections::new(),
            permits: CallPermits::new(),
            document: None,
            gate: VersionGate::new(),
            actions: Vec::new(),
            rounds: 0,
            zone,
        }
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
            Some(PeerMessage::Listed(list)) => self.apply_list(&list).await,
            Some(PeerMessage::Demand(demand)) => self.handle(PeerEvent::Demand(&demand)).await,
            Some(PeerMessage::CrashReport(report)) => {
                self.handle(PeerEvent::CrashReport(&report)).await
            }
            Some(PeerMessage::Server(update)) => self.handle(PeerEvent::Server(&update)).await,
            Some(PeerMessage::Loading(loading)) => self.announce_loading(loading).await,
            Some(PeerMessage::Heartbeat(heartbeat, reply)) => {
                self.answer_heartbeat(&heartbeat, &reply).await
            }
            Some(PeerMessage::FetchRequest(known, reply)) => {
                let newer = self.document.as_ref().filter(|d| d.version > known);
                let _ = reply.try_send(newer.cloned());
            }
            Some(PeerMessage::Reply(heartbeat)) => self.handle(PeerEvent::Reply(&heartbeat)).await,
            Some(PeerMessage::Timeout(peer)) => self.handle(PeerEvent::Timeout(&peer)).await,
            Some(PeerMessage::LinkFailed(peer)) => {
                self.connections.close(&peer);
                self.zone.close(&peer);
            }
            Some(PeerMessage::Fetched(peer, document)) => {
                self.apply_document(&peer, document).await
            }
            Some(PeerMessage::FetchFailed(peer)) => {
                self.handle(PeerEvent::FetchFailed(&peer)).await
            }
            Some(PeerMessage::AskZone(request, reply)) => {
                self.zone.ask(request, reply, &self.membership)
            }
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
                PeerAction::Send(peer, heartbeat) | PeerAction::Relay(peer, heartbeat) => {
                    self.send(peer, &heartbeat)
                }
                PeerAction::Announce(peer, heartbeat) => self.announce(peer, &heartbeat),
                PeerAction::Fetch(peer, known) => self.fetch(peer, known),
                PeerAction::Reply(_) => {}
                PeerAction::LiveCount(count) => {
                    log::info!(step = "membership", count = count; "the number of live entry instances in the zone changed");
                    self.send_update(PeerUpdate::ZoneEntries(count)).await;
                    self.notify_selection();
                }
                PeerAction::Demand(zones) => self.send_update(PeerUpdate::Demand(zones)).await,
                PeerAction::Server(update) => self.send_update(PeerUpdate::Server(update)).await,
                PeerAction::Loading(loading) => {
                    self.send_update(PeerUpdate::Loading(loading)).await
                }
                PeerAction::CrashReport(report) => {
                    self.send_update(PeerUpdate::CrashReport(report)).await
                }
            }
        }
        if sent_round {
            self.end_round().await;
        }
    }

    async fn end_round(&mut self) {
        self.rounds += 1;
        self.zone.ask_waiting(&self.membership);
        if self.rounds % NOTIFY_ROUNDS == 1 {
            self.notify_selection();
        }
        self.send_audience().await;
        let known = self.membership.peers().known_count() + 1;
        self.send_update(PeerUpdate::HeartbeatRound(known)).await;
    }

    /// Tells the deciding duty which entries read feeds, if they have changed.
    async fn send_audience(&mut self) {
        if let Some(audience) = self.zone.changed_audience(&self.membership) {
            self.send_decide(DecideMessage::Audience(audience)).await;
        }
    }

    async fn send_update(&self, update: PeerUpdate) {
        self.send_decide(DecideMessage::Peer(update)).await;
    }

    /// Sends to the deciding duty and waits while its ring is full. The deciding duty never waits
    /// for this one, so they cannot deadlock.
    async fn send_decide(&self, message: DecideMessage) {
        let _ = self.rings.decide.send_async(message).await;
    }

    fn notify_selection(&self) {
        let zone = &self.membership.me().zone;
        let live = self.membership.peers().live_in_zone(zone);
        let live: Vec<_> = live.map(|m| m.latest.instance.id.clone()).collect();
        self.rings.selection.notify(&live);
    }

    async fn apply_list(&mut self, list: &[Instance]) {
        self.handle(PeerEvent::Listed(list)).await;
        self.zone.record_list(&self.membership);
        self.send_audience().await;
    }

    async fn announce_loading(&mut self, loading: LoadNotice) {
        self.handle(PeerEvent::Loading(&loading)).await;
        self.send_update(PeerUpdate::Loading(loading)).await;
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

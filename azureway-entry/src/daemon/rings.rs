//! The rings between the duties.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use flume::{Receiver, Sender};

use super::Handles;
use crate::admit::{AdmitMessage, RequestIds};
use crate::claim::ClaimRings;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::meter::{MetricEvent, RingMonitor};
use crate::order::OrderMessage;
use crate::peer::{PeerMessage, PeerRings};
use crate::watch::{SelectionNotifier, WatchMessage};

/// Both ends of every ring between the duties, and what the duties share.
#[derive(Debug)]
pub struct Rings {
    /// To the admitting duty.
    pub admit: Sender<AdmitMessage>,
    /// At the admitting duty.
    pub admit_messages: Receiver<AdmitMessage>,
    /// To the deciding duty.
    pub decide: Sender<DecideMessage>,
    /// At the deciding duty.
    pub decide_messages: Receiver<DecideMessage>,
    /// Between the deciding duty and the claiming threads.
    pub claims: ClaimRings,
    /// To the ordering duty.
    pub order: Sender<OrderMessage>,
    /// At the ordering duty.
    pub order_messages: Receiver<OrderMessage>,
    /// To the peer duty.
    pub peer: Sender<PeerMessage>,
    /// At the peer duty.
    pub peer_messages: Receiver<PeerMessage>,
    /// To the measuring duty.
    pub meter: Sender<MetricEvent>,
    /// At the measuring duty.
    pub measures: Receiver<MetricEvent>,
    /// To the watching duty.
    pub watch: Sender<WatchMessage>,
    /// At the watching duty.
    pub watch_messages: Receiver<WatchMessage>,
    /// Held by every connection; nothing is sent on it.
    pub guard: Sender<()>,
    /// Ends when the last connection does.
    pub closed: Receiver<()>,
    /// Told when the first configuration is in force.
    pub ready_tx: Sender<()>,
    /// Hears when the first configuration is in force.
    pub ready_rx: Receiver<()>,
    /// Whether the daemon serves.
    pub ready: Arc<AtomicBool>,
    /// The clock.
    pub clock: Clock,
}

/// The messages to the watching duty that wait; a watch holds them up for some seconds.
const WATCH_NOTES: usize = 8;

impl Rings {
    /// Creates rings of `size` messages.
    pub fn new(size: usize) -> Self {
        let (admit, admit_messages) = flume::bounded(size);
        let (decide, decide_messages) = flume::bounded(size);
        let (order, order_messages) = flume::bounded(size);
        let (peer, peer_messages) = flume::bounded(size);
        let (meter, measures) = flume::bounded(size);
        let (watch, watch_messages) = flume::bounded(WATCH_NOTES);
        let (guard, closed) = flume::bounded(0);
        let (ready_tx, ready_rx) = flume::bounded(1);
        Self {
            admit,
            admit_messages,
            decide,
            decide_messages,
            claims: ClaimRings::new(size),
            order,
            order_messages,
            peer,
            peer_messages,
            meter,
            measures,
            watch,
            watch_messages,
            guard,
            closed,
            ready_tx,
            ready_rx,
            ready: Arc::new(AtomicBool::new(false)),
            clock: Clock::new(),
        }
    }

    /// Returns how full the rings are, for the measuring duty.
    pub fn views(&self) -> RingMonitor {
        RingMonitor {
            admit: self.admit.downgrade(),
            decide: self.decide.downgrade(),
        }
    }

    /// Returns what the peer duty reaches.
    pub fn peers(&self, selection: SelectionNotifier) -> PeerRings {
        PeerRings {
            peer: self.peer.clone(),
            messages: self.peer_messages.clone(),
            admit: self.admit.clone(),
            decide: self.decide.clone(),
            meter: self.meter.clone(),
            selection,
            clock: self.clock,
        }
    }

    /// Returns what a connection reaches.
    pub fn handles(&self, ids: &RequestIds) -> Handles {
        Handles {
            ids: ids.clone(),
            admit: self.admit.clone(),
            decide: self.decide.clone(),
            meter: self.meter.clone(),
            clock: self.clock,
            guard: self.guard.clone(),
            ready: Arc::clone(&self.ready),
        }
    }
}

//! The rings between the duties.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use flume::{Receiver, Sender};

use super::Doors;
use crate::admit::AdmitNote;
use crate::claim::ClaimRings;
use crate::clock::Clock;
use crate::decide::DecideNote;
use crate::meter::{Measure, RingViews};
use crate::order::OrderNote;
use crate::peer::{PeerNote, PeerRings};
use crate::watch::{ChoiceDesk, WatchNote};

/// Both ends of every ring between the duties, and what the duties share.
#[derive(Debug)]
pub struct Rings {
    /// To the admitting duty.
    pub admit: Sender<AdmitNote>,
    /// At the admitting duty.
    pub admit_notes: Receiver<AdmitNote>,
    /// To the deciding duty.
    pub decide: Sender<DecideNote>,
    /// At the deciding duty.
    pub decide_notes: Receiver<DecideNote>,
    /// Between the deciding duty and the claiming threads.
    pub claims: ClaimRings,
    /// To the ordering duty.
    pub order: Sender<OrderNote>,
    /// At the ordering duty.
    pub order_notes: Receiver<OrderNote>,
    /// To the peer duty.
    pub peer: Sender<PeerNote>,
    /// At the peer duty.
    pub peer_notes: Receiver<PeerNote>,
    /// To the measuring duty.
    pub meter: Sender<Measure>,
    /// At the measuring duty.
    pub measures: Receiver<Measure>,
    /// To the watching duty.
    pub watch: Sender<WatchNote>,
    /// At the watching duty.
    pub halt: Receiver<WatchNote>,
    /// Held by every connection; nothing is sent on it.
    pub guard: Sender<()>,
    /// Ends when the last connection does.
    pub alive: Receiver<()>,
    /// Told when the first configuration is in force.
    pub serve: Sender<()>,
    /// Hears when the first configuration is in force.
    pub served: Receiver<()>,
    /// Whether the daemon serves.
    pub ready: Arc<AtomicBool>,
    /// The clock.
    pub clock: Clock,
}

/// The notes to the watching duty that wait; a watch holds them up for some seconds.
const WATCH_NOTES: usize = 8;

impl Rings {
    /// Creates rings of `size` messages.
    pub fn new(size: usize) -> Self {
        let (admit, admit_notes) = flume::bounded(size);
        let (decide, decide_notes) = flume::bounded(size);
        let (order, order_notes) = flume::bounded(size);
        let (peer, peer_notes) = flume::bounded(size);
        let (meter, measures) = flume::bounded(size);
        let (watch, halt) = flume::bounded(WATCH_NOTES);
        let (guard, alive) = flume::bounded(0);
        let (serve, served) = flume::bounded(1);
        Self {
            admit,
            admit_notes,
            decide,
            decide_notes,
            claims: ClaimRings::new(size),
            order,
            order_notes,
            peer,
            peer_notes,
            meter,
            measures,
            watch,
            halt,
            guard,
            alive,
            serve,
            served,
            ready: Arc::new(AtomicBool::new(false)),
            clock: Clock::new(),
        }
    }

    /// Returns how full the rings are, for the measuring duty.
    pub fn views(&self) -> RingViews {
        RingViews {
            admit: self.admit.downgrade(),
            decide: self.decide.downgrade(),
        }
    }

    /// Returns what the peer duty reaches.
    pub fn peers(&self, desk: ChoiceDesk) -> PeerRings {
        PeerRings {
            peer: self.peer.clone(),
            notes: self.peer_notes.clone(),
            admit: self.admit.clone(),
            decide: self.decide.clone(),
            meter: self.meter.clone(),
            desk,
            clock: self.clock,
        }
    }

    /// Returns what a connection reaches.
    pub fn doors(&self) -> Doors {
        Doors {
            admit: self.admit.clone(),
            decide: self.decide.clone(),
            meter: self.meter.clone(),
            clock: self.clock,
            guard: self.guard.clone(),
            ready: Arc::clone(&self.ready),
        }
    }
}

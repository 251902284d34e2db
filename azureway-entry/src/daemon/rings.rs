//! Creation of the rings between the duties, and the ends that each duty uses.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use azureway_config::settings::Bounds;
use azureway_core::prelude::{MemoryLimits, OwnLimits};
use flume::{Receiver, Sender};

use super::Handles;
use crate::admit::{AdmitMessage, RequestIds};
use crate::claim::ClaimRings;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::memory::{CallMemory, MemoryAccount};
use crate::meter::{MetricEvent, RingMonitor};
use crate::order::OrderMessage;
use crate::peer::{PeerMessage, PeerRings};
use crate::watch::{SelectionNotifier, WatchMessage};
use crate::zone::ZoneCache;

/// Both ends of every ring between the duties, and the state that the duties share.
#[derive(Debug)]
pub struct Rings {
    /// The ring to the admitting duty.
    pub admit: Sender<AdmitMessage>,
    /// The messages that the admitting duty receives.
    pub admit_messages: Receiver<AdmitMessage>,
    /// The ring to the deciding duty.
    pub decide: Sender<DecideMessage>,
    /// The messages that the deciding duty receives.
    pub decide_messages: Receiver<DecideMessage>,
    /// The rings between the deciding duty and the claiming threads.
    pub claims: ClaimRings,
    /// The ring to the ordering duty.
    pub order: Sender<OrderMessage>,
    /// The messages that the ordering duty receives.
    pub order_messages: Receiver<OrderMessage>,
    /// The ring to the peer duty.
    pub peer: Sender<PeerMessage>,
    /// The messages that the peer duty receives.
    pub peer_messages: Receiver<PeerMessage>,
    /// The ring to the measuring duty.
    pub meter: Sender<MetricEvent>,
    /// The events that the measuring duty receives.
    pub metric_events: Receiver<MetricEvent>,
    /// The ring to the watching duty.
    pub watch: Sender<WatchMessage>,
    /// The messages that the watching duty receives.
    pub watch_messages: Receiver<WatchMessage>,
    /// A ring on which nothing is sent; every connection holds a clone of this end.
    pub guard: Sender<()>,
    /// The other end of `guard`, which disconnects when the last connection is closed.
    pub closed: Receiver<()>,
    /// Signals that the first configuration is in force.
    pub ready_tx: Sender<()>,
    /// Receives the signal that the first configuration is in force.
    pub ready_rx: Receiver<()>,
    /// Whether the daemon is ready to serve requests.
    pub ready: Arc<AtomicBool>,
    /// What the entry reads of the platform, for its zone.
    pub zone: Arc<ZoneCache>,
    /// The account of the memory that is held for others.
    pub memory: MemoryAccount,
    /// The memory of the instance's own calls to backend servers.
    pub calls: CallMemory,
    /// The daemon's monotonic clock.
    pub clock: Clock,
}

/// The capacity of the ring to the watching duty, in messages. Messages wait there while a watch
/// call blocks, which may take some seconds.
const WATCH_RING: usize = 8;

impl Rings {
    /// Creates rings that hold `size` messages each.
    pub fn new(size: usize) -> Self {
        let (admit, admit_messages) = flume::bounded(size);
        let (decide, decide_messages) = flume::bounded(size);
        let (order, order_messages) = flume::bounded(size);
        let (peer, peer_messages) = flume::bounded(size);
        let (meter, metric_events) = flume::bounded(size);
        let (watch, watch_messages) = flume::bounded(WATCH_RING);
        let (guard, closed) = flume::bounded(0);
        let (ready_tx, ready_rx) = flume::bounded(1);
        let clock = Clock::new();
        Self {
            zone: Arc::new(ZoneCache::new(clock)),
            memory: memory_account(&Bounds::new(), clock),
            calls: CallMemory::new(OwnLimits::new(Bounds::new().memory).calls, clock),
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
            metric_events,
            watch,
            watch_messages,
            guard,
            closed,
            ready_tx,
            ready_rx,
            ready: Arc::new(AtomicBool::new(false)),
            clock,
        }
    }

    /// Sets the bounds from which the memory for others and for own calls follows.
    #[must_use]
    pub fn with_memory(mut self, bounds: &Bounds) -> Self {
        self.memory = memory_account(bounds, self.clock);
        let own = OwnLimits::new(bounds.memory);
        self.calls = CallMemory::new(own.calls, self.clock);
        self.zone = Arc::new(ZoneCache::new(self.clock).with_max_size(own.objects));
        self
    }

    /// Returns the rings whose depth the measuring duty reports.
    pub fn monitor(&self) -> RingMonitor {
        RingMonitor {
            admit: self.admit.downgrade(),
            decide: self.decide.downgrade(),
        }
    }

    /// Returns the rings of the peer duty.
    pub fn peers(&self, selection: SelectionNotifier) -> PeerRings {
        PeerRings {
            peer: self.peer.clone(),
            messages: self.peer_messages.clone(),
            admit: self.admit.clone(),
            decide: self.decide.clone(),
            meter: self.meter.clone(),
            selection,
            zone: Arc::clone(&self.zone),
            clock: self.clock,
        }
    }

    /// Returns the handles of a connection.
    pub fn handles(&self, ids: &RequestIds) -> Handles {
        Handles {
            ids: ids.clone(),
            admit: self.admit.clone(),
            decide: self.decide.clone(),
            meter: self.meter.clone(),
            memory: self.memory.clone(),
            clock: self.clock,
            guard: self.guard.clone(),
            ready: Arc::clone(&self.ready),
        }
    }
}

fn memory_account(bounds: &Bounds, clock: Clock) -> MemoryAccount {
    let limits = MemoryLimits::new(bounds.memory, bounds.descriptors, bounds.connections);
    MemoryAccount::new(limits, clock)
}

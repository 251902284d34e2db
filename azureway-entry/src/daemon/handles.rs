//! The parts of the daemon that a caller's connection needs: rings, clock and readiness.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use flume::Sender;

use crate::admit::{AdmitMessage, RequestIds};
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::memory::MemoryAccount;
use crate::meter::MetricEvent;

/// The rings and shared state of the daemon that a connection uses.
#[derive(Clone, Debug)]
pub struct Handles {
    /// The ring to the admitting duty.
    pub admit: Sender<AdmitMessage>,
    /// The ring to the deciding duty.
    pub decide: Sender<DecideMessage>,
    /// The ring to the measuring duty.
    pub meter: Sender<MetricEvent>,
    /// The generator of request IDs.
    pub ids: RequestIds,
    /// The account of the memory that is held for others.
    pub memory: MemoryAccount,
    /// The daemon's monotonic clock.
    pub clock: Clock,
    /// A ring on which nothing is sent. It disconnects when the last connection is closed.
    pub guard: Sender<()>,
    /// Whether the daemon is ready to serve requests.
    pub ready: Arc<AtomicBool>,
}

impl Handles {
    /// Returns whether the daemon is ready: it has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

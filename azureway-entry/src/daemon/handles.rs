//! What a connection reaches of the daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use flume::Sender;

use crate::admit::{AdmitMessage, RequestIds};
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::meter::MetricEvent;

/// What a connection reaches of the daemon: the rings of the other duties.
#[derive(Clone, Debug)]
pub struct Handles {
    /// The admitting duty.
    pub admit: Sender<AdmitMessage>,
    /// The deciding duty.
    pub decide: Sender<DecideMessage>,
    /// The measuring duty.
    pub meter: Sender<MetricEvent>,
    /// The identities of requests.
    pub ids: RequestIds,
    /// The clock.
    pub clock: Clock,
    /// A ring that ends when the last connection does; nothing is ever sent on it.
    pub guard: Sender<()>,
    /// Whether the daemon serves.
    pub ready: Arc<AtomicBool>,
}

impl Handles {
    /// Tells whether the daemon serves: it has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

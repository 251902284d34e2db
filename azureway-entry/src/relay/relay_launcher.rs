//! Starting relays.

use std::sync::Arc;
use std::thread;

use azureway_config::settings::Bounds;
use azureway_core::prelude::*;
use flume::{Receiver, Sender};

use super::{GapMeter, Launch, RelayAttempt, report_unsent};
use crate::admit::UpstreamRequest;
use crate::caller::AnswerChunk;
use crate::decide::DecideMessage;
use crate::meter::MetricEvent;

/// Starts a relay for each try. The decisions bound how many there are by the slots of the
/// backend servers.
#[derive(Clone, Debug)]
pub struct RelayLauncher {
    decide: Sender<DecideMessage>,
    meter: Sender<MetricEvent>,
    bounds: Bounds,
}

/// The chunks that wait for a caller's connection; a relay that finds the ring full waits,
/// and the backend server is held back by its connection.
const CHUNKS: usize = 64;
/// The stack of a relay's thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;

impl RelayLauncher {
    /// Creates a launcher whose relays report to `decide` and measure to `meter`.
    pub const fn new(
        decide: Sender<DecideMessage>,
        meter: Sender<MetricEvent>,
        bounds: Bounds,
    ) -> Self {
        Self {
            decide,
            meter,
            bounds,
        }
    }
}

impl Launch for RelayLauncher {
    fn launch(&mut self, order: Dispatch, upstream: Arc<UpstreamRequest>) -> Receiver<AnswerChunk> {
        let (sender, chunks) = flume::bounded(CHUNKS);
        let attempt = order.attempt;
        let pace = GapMeter::new(order.rank, self.meter.clone());
        let (bounds, decide) = (self.bounds.clone(), self.decide.clone());
        let relay = RelayAttempt::new(order, upstream, bounds, sender, decide, pace);
        let thread = thread::Builder::new()
            .name("relay".to_owned())
            .stack_size(STACK_SIZE);
        if let Err(e) = thread.spawn(move || relay.run()) {
            log::error!(request:% = attempt.id, step = "relay", error:% = e; "no thread");
            report_unsent(&self.decide, attempt);
        }
        chunks
    }

    /// The relay has lost its ring with the caller and stops by itself.
    fn cancel(&mut self, _: Attempt) {}
}

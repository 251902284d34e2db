//! Starting the attempts of the relay.

use std::sync::Arc;
use std::thread;

use azureway_config::settings::Bounds;
use azureway_core::prelude::*;
use flume::{Receiver, Sender};

use super::{GapMeter, Launch, RelayAttempt, report_failure, report_unsent};
use crate::admit::UpstreamRequest;
use crate::caller::AnswerChunk;
use crate::decide::DecideMessage;
use crate::meter::MetricEvent;

/// Starts a thread for each attempt. The router bounds their number by the slots of the backend
/// servers.
#[derive(Clone, Debug)]
pub struct RelayLauncher {
    decide: Sender<DecideMessage>,
    meter: Sender<MetricEvent>,
    bounds: Bounds,
}

/// The capacity of the ring to a caller's connection. The memory account bounds its bytes long before, so
/// that a slow caller holds up no backend server.
const CHUNK_CAPACITY: usize = 16_384;
/// The stack size of an attempt's thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;

impl RelayLauncher {
    /// Creates a launcher whose attempts report to `decide` and send metrics to `meter`.
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
    fn launch(
        &mut self,
        dispatch: Dispatch,
        upstream: Arc<UpstreamRequest>,
    ) -> Receiver<AnswerChunk> {
        let (sender, chunks) = flume::bounded(CHUNK_CAPACITY);
        let attempt = dispatch.attempt;
        let gap_meter = GapMeter::new(dispatch.rank, self.meter.clone());
        let (bounds, decide) = (self.bounds.clone(), self.decide.clone());
        let relay = RelayAttempt::new(dispatch, upstream, bounds, sender, decide, gap_meter);
        let thread = thread::Builder::new()
            .name("relay".to_owned())
            .stack_size(STACK_SIZE);
        if let Err(e) = thread.spawn(move || relay.run()) {
            log::error!(request:% = attempt.id, step = "relay", error:% = e; "starting a thread failed");
            report_unsent(&self.decide, attempt);
        }
        chunks
    }

    /// Does nothing: an attempt ends by itself when the receiver of its chunks is dropped.
    fn cancel(&mut self, _: Attempt) {}

    /// Reports the attempt as recalled. It ends by itself when the receiver of its chunks is dropped.
    fn recall(&mut self, recall: &Recall) {
        let (attempt, kind) = (recall.attempt, FailureKind::Recalled);
        report_failure(&self.decide, attempt, kind, SendState::MaybeRun);
    }
}

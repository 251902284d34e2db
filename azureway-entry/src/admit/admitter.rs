//! The admitting duty, which turns calls into requests.

use std::sync::Arc;

use azureway_core::prelude::*;
use flume::{Receiver, Sender};

use super::{AdmitMessage, AdmittedRequest, Call, ExplainCall, ReadCall, UpstreamRequest};
use crate::caller::RequestUpdate;
use crate::decide::{DecideMessage, Query};
use crate::meter::MetricEvent;

/// The admitting duty: authenticates the callers, derives the blocks of the prompts and puts
/// configurations into force.
#[derive(Debug)]
pub struct Admitter<R> {
    reader: R,
    messages: Receiver<AdmitMessage>,
    decide: Sender<DecideMessage>,
    meter: Sender<MetricEvent>,
    fleet: Arc<Fleet>,
}

impl<R: ReadCall> Admitter<R> {
    /// Creates the duty for the interface whose calls `reader` reads.
    pub fn new(
        reader: R,
        messages: Receiver<AdmitMessage>,
        decide: Sender<DecideMessage>,
        meter: Sender<MetricEvent>,
    ) -> Self {
        Self {
            reader,
            messages,
            decide,
            meter,
            fleet: Arc::new(Fleet::new()),
        }
    }

    /// Runs until every sender of messages is gone.
    pub fn run(mut self) {
        while let Ok(message) = self.messages.recv() {
            match message {
                AdmitMessage::Call(call) => self.admit(*call),
                AdmitMessage::Configured(fleet) => self.reconfigure(fleet),
                AdmitMessage::Explain(call) => self.explain(*call),
            }
        }
    }

    /// Puts a configuration into force. The deciding duty receives it on the ring of requests, so
    /// that it has each request's service and account before the request.
    fn reconfigure(&mut self, fleet: Arc<Fleet>) {
        if fleet.version > self.fleet.version {
            let message = DecideMessage::Configured(Arc::clone(&fleet));
            // The send fails only if the deciding duty has ended.
            let _ = self.decide.send(message);
            self.fleet = fleet;
        }
    }

    fn admit(&mut self, mut call: Call) {
        let id = call.id;
        match self.read(&mut call) {
            Ok((request, upstream)) => {
                let admitted = AdmittedRequest {
                    request,
                    upstream,
                    updates: call.updates,
                };
                // Blocks while the deciding duty is behind. This duty's own ring then fills up, and
                // connections refuse further requests at once.
                let _ = self.decide.send(DecideMessage::Arrived(Box::new(admitted)));
            }
            Err(refusal) => {
                log::info!(
                    request:% = id, step = "admit", code = refusal.reason.code(),
                    detail = refusal.detail.as_ref(), fleet:% = self.fleet.version;
                    "refused"
                );
                let _ = self.meter.try_send(MetricEvent::Refused(refusal.reason));
                let _ = call.updates.try_send(RequestUpdate::Refused(id, refusal));
            }
        }
    }

    fn explain(&mut self, mut explain: ExplainCall) {
        let ExplainCall { account, call, .. } = &mut explain;
        match self.reader.read_as(&self.fleet, account, call) {
            Ok(request) => {
                let message =
                    DecideMessage::Query(Query::Explain(Box::new(request), explain.reply));
                let _ = self.decide.send(message);
            }
            Err(refusal) => {
                let _ = explain.reply.try_send(Err(refusal));
            }
        }
    }

    fn read(&self, call: &mut Call) -> Result<(Request, UpstreamRequest), Refusal> {
        if self.fleet.version == ConfigVersion::ZERO {
            let detail = "no configuration has been read yet";
            return Err(Refusal::not_run(RefusalReason::NoServer, detail));
        }
        self.reader.read(&self.fleet, call)
    }
}

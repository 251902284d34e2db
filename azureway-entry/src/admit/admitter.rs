//! The admitting duty.

use std::sync::Arc;

use azureway_core::prelude::*;
use flume::{Receiver, Sender};

use super::{AdmitMessage, Admitted, Call, CallReader, ExplainCall};
use crate::caller::Outcome;
use crate::decide::{DecideMessage, Question};
use crate::meter::Measure;

/// The admitting duty: tells who asks for what and derives the blocks of the prompt.
#[derive(Debug)]
pub struct Admitter {
    messages: Receiver<AdmitMessage>,
    decide: Sender<DecideMessage>,
    meter: Sender<Measure>,
    fleet: Arc<Fleet>,
    entry: u64,
    sequence: u64,
}

impl Admitter {
    /// Creates the duty. `entry` marks the identities of this process's requests.
    pub fn new(
        messages: Receiver<AdmitMessage>,
        decide: Sender<DecideMessage>,
        meter: Sender<Measure>,
        entry: u64,
    ) -> Self {
        Self {
            messages,
            decide,
            meter,
            fleet: Arc::new(Fleet::new()),
            entry,
            sequence: 0,
        }
    }

    /// Runs until every sender of messages is gone.
    pub fn run(mut self) {
        while let Ok(message) = self.messages.recv() {
            match message {
                AdmitMessage::Call(call) => self.admit(*call),
                AdmitMessage::Adopt(fleet) => self.adopt(fleet),
                AdmitMessage::Explain(call) => self.explain(*call),
            }
        }
    }

    fn adopt(&mut self, fleet: Arc<Fleet>) {
        if fleet.version > self.fleet.version {
            self.fleet = fleet;
        }
    }

    fn admit(&mut self, call: Call) {
        self.sequence += 1;
        let id = RequestId::new(self.entry, self.sequence);
        match self.read(&call, id) {
            Ok((request, upstream)) => {
                let admitted = Admitted {
                    request,
                    upstream,
                    outcome: call.outcome,
                };
                // Blocks while the decisions are behind, which fills this duty's own ring:
                // connections then refuse at once.
                let _ = self.decide.send(DecideMessage::Arrived(Box::new(admitted)));
            }
            Err(refusal) => {
                log::info!(request:% = id, step = "admit", code = refusal.reason.code(); "refused");
                let _ = self.meter.try_send(Measure::Refused(refusal.reason));
                let _ = call.outcome.try_send(Outcome::Refused(id, refusal));
            }
        }
    }

    fn explain(&mut self, explain: ExplainCall) {
        self.sequence += 1;
        let id = RequestId::new(self.entry, self.sequence);
        match self.read_as(&explain, id) {
            Ok(request) => {
                let message =
                    DecideMessage::Ask(Question::Explain(Box::new(request), explain.reply));
                let _ = self.decide.send(message);
            }
            Err(refusal) => {
                let _ = explain.reply.try_send(Err(refusal));
            }
        }
    }

    fn read_as(&self, explain: &ExplainCall, id: RequestId) -> Result<Request, Refusal> {
        let account = self.fleet.accounts.get(explain.account.as_str());
        let detail = "no client account of this name";
        let refusal = || Refusal::not_run(RefusalReason::Unauthorized, detail);
        let reader = CallReader::new(&self.fleet, &explain.call);
        let (request, _) = reader.read_as(account.ok_or_else(refusal)?, id)?;
        Ok(request)
    }

    fn read(
        &self,
        call: &Call,
        id: RequestId,
    ) -> Result<(Request, super::UpstreamRequest), Refusal> {
        if self.fleet.version == ConfigVersion::ZERO {
            let detail = "no configuration has been read yet";
            return Err(Refusal::not_run(RefusalReason::NoServer, detail));
        }
        CallReader::new(&self.fleet, call).read(id)
    }
}

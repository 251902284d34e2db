//! The claiming duty.

use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::claim::ClaimBody;
use azureway_wire::object::ObjectBody;
use flume::{Receiver, RecvTimeoutError, Sender};

use super::kind::kind_of;
use super::{ClaimOrder, ClaimRings};
use crate::clock::Clock;
use crate::decide::DecideMessage;

/// The claiming duty: makes the calls of claims and tells what became of them.
#[derive(Debug)]
pub struct Claimer<A> {
    api: A,
    orders: Receiver<ClaimOrder>,
    decide: Sender<DecideMessage>,
    halt: Receiver<()>,
    clock: Clock,
    seed: u64,
}

/// The first wait after a call without a useful answer.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// The longest wait after a call without a useful answer.
const BACKOFF_CAP: Duration = Duration::from_millis(500);

impl<A: ObjectApi> Claimer<A> {
    /// Creates the duty. `seed` spreads the retries of entries that fail together.
    pub fn new(
        api: A,
        rings: &ClaimRings,
        decide: Sender<DecideMessage>,
        clock: Clock,
        seed: u64,
    ) -> Self {
        Self {
            api,
            orders: rings.orders.clone(),
            decide,
            halt: rings.halt.clone(),
            clock,
            seed,
        }
    }

    /// Runs until every sender of orders is gone.
    pub fn run(self) {
        while let Ok(order) = self.orders.recv() {
            let news = self.carry_out(&order);
            let _ = self.decide.send(DecideMessage::Claim(news));
        }
    }

    fn carry_out(&self, order: &ClaimOrder) -> ClaimOutcome {
        let id = order.call.id();
        if self.is_late(order) {
            return ClaimOutcome::Skipped(id);
        }
        let mut run = ClaimOperation::new(&order.call);
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, self.seed ^ id.sequence());
        let mut step = run.first();
        loop {
            let failures = run.failures();
            step = match self.call(order, &step) {
                Ok(reply) => run.next(reply),
                Err(news) => return news,
            };
            if let ClaimStep::Done(news) = step {
                return news;
            }
            let stopped = run.failures() > failures && self.is_stopped(backoff.next_delay());
            if stopped || self.is_late(order) {
                return ClaimOutcome::Unavailable(id);
            }
        }
    }

    /// Tells whether nobody waits for the claim any more.
    fn is_late(&self, order: &ClaimOrder) -> bool {
        match &order.call {
            ClaimCommand::Create(ask) => ask.deadline < self.clock.now(),
            ClaimCommand::Finish(_) | ClaimCommand::Release(_) => false,
        }
    }

    fn is_stopped(&self, wait: Duration) -> bool {
        !matches!(self.halt.recv_timeout(wait), Err(RecvTimeoutError::Timeout))
    }

    /// Makes one call. A step that is an end already is handed back as news.
    fn call(&self, order: &ClaimOrder, step: &ClaimStep) -> Result<ClaimReply, ClaimOutcome> {
        let (name, record) = match &order.call {
            ClaimCommand::Create(ask) => (ask.name, ask.record()),
            ClaimCommand::Finish(t) | ClaimCommand::Release(t) => {
                (t.name, t.finished(order.answer.clone()))
            }
        };
        let (kind, name) = (kind_of(name.shard()), name.to_string());
        let reply = match step {
            ClaimStep::Write(expected) => self.write(&kind, &name, &record, *expected),
            ClaimStep::Read => self.api.get(&kind, &name).and_then(read),
            ClaimStep::Delete(expected) => {
                let deleted = self.api.delete(&kind, &name, *expected);
                deleted.map(|()| ClaimReply::Written(*expected))
            }
            ClaimStep::Done(news) => return Err(news.clone()),
        };
        Ok(reply.unwrap_or_else(|e| explain(&e, order.call.id())))
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        record: &ClaimRecord,
        expected: u64,
    ) -> Result<ClaimReply, Error> {
        let body = ClaimBody::new(record, Clock::unix_seconds());
        let value = serde_json::to_string(&body)
            .map_err(|e| Error::new(ErrorKind::Invalid, Step::new("write claim"), e))?;
        let put = Put {
            kind,
            name,
            value: &value,
            expected,
        };
        self.api.put(&put).map(ClaimReply::Written)
    }
}

fn read(object: Option<ObjectBody>) -> Result<ClaimReply, Error> {
    let Some(object) = object else {
        return Ok(ClaimReply::Absent);
    };
    let step = Step::new("read claim");
    let body: ClaimBody = serde_json::from_str(&object.value)
        .map_err(|e| Error::new(ErrorKind::Protocol, step, e))?;
    Ok(ClaimReply::Found(object.version, body.try_into()?))
}

fn explain(error: &Error, id: RequestId) -> ClaimReply {
    match error.kind() {
        ErrorKind::Conflict => ClaimReply::Conflict,
        ErrorKind::Limited => ClaimReply::Limited,
        _ => {
            log::warn!(request:% = id, step = error.step().as_str(), error:% = error; "a claim's call failed");
            ClaimReply::Lost
        }
    }
}

//! The platform calls that create and close claims, with their retries.

use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::claim::ClaimBody;
use azureway_wire::object::ObjectBody;
use flume::{Receiver, RecvTimeoutError, Sender};

use super::kind::kind_of;
use super::{ClaimRings, ClaimTask};
use crate::clock::Clock;
use crate::decide::DecideMessage;

/// The claiming duty: carries out claim commands at the platform and reports their outcomes.
#[derive(Debug)]
pub struct Claimer<A> {
    api: A,
    tasks: Receiver<ClaimTask>,
    decide: Sender<DecideMessage>,
    closed: Receiver<()>,
    clock: Clock,
    seed: u64,
}

/// The first delay after a call without a usable answer.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// The longest delay after a call without a usable answer.
const BACKOFF_CAP: Duration = Duration::from_millis(500);

impl<A: ObjectApi> Claimer<A> {
    /// Creates the duty. With different seeds, entry instances whose calls fail together retry at
    /// different times.
    pub fn new(
        api: A,
        rings: &ClaimRings,
        decide: Sender<DecideMessage>,
        clock: Clock,
        seed: u64,
    ) -> Self {
        Self {
            api,
            tasks: rings.task_rx.clone(),
            decide,
            closed: rings.closed.clone(),
            clock,
            seed,
        }
    }

    /// Runs until every sender of tasks is gone.
    pub fn run(self) {
        while let Ok(task) = self.tasks.recv() {
            let outcome = self.execute(&task);
            let _ = self.decide.send(DecideMessage::Claim(outcome));
        }
    }

    fn execute(&self, task: &ClaimTask) -> ClaimOutcome {
        let id = task.command.id();
        if self.is_expired(task) {
            return ClaimOutcome::Skipped(id);
        }
        let mut operation = ClaimOperation::new(&task.command);
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, self.seed ^ id.sequence());
        let mut step = operation.first();
        loop {
            let failures = operation.failures();
            step = match self.call(task, &step) {
                Ok(reply) => operation.next(reply),
                Err(outcome) => return outcome,
            };
            if let ClaimStep::Done(outcome) = step {
                return outcome;
            }
            let stopped = operation.failures() > failures && self.wait_closed(backoff.next_delay());
            if stopped || self.is_expired(task) {
                return ClaimOutcome::Unavailable(id);
            }
        }
    }

    /// Returns whether the claim is no longer needed.
    fn is_expired(&self, task: &ClaimTask) -> bool {
        match &task.command {
            ClaimCommand::Create(request) => request.deadline < self.clock.now(),
            ClaimCommand::Finish(_) | ClaimCommand::Release(_) => false,
        }
    }

    /// Waits for `delay`. Returns true at once if the deciding duty ends.
    fn wait_closed(&self, delay: Duration) -> bool {
        !matches!(
            self.closed.recv_timeout(delay),
            Err(RecvTimeoutError::Timeout)
        )
    }

    /// Makes the platform call of `step`. If `step` is an outcome rather than a call, returns it as
    /// an error.
    fn call(&self, task: &ClaimTask, step: &ClaimStep) -> Result<ClaimReply, ClaimOutcome> {
        let (name, record) = match &task.command {
            ClaimCommand::Create(request) => (request.name, request.record()),
            ClaimCommand::Finish(handle) | ClaimCommand::Release(handle) => {
                (handle.name, handle.finished(task.answer.clone()))
            }
        };
        let (kind, name) = (kind_of(name.shard()), name.to_string());
        let reply = match step {
            ClaimStep::Write(expected) => self.write(&kind, &name, &record, *expected),
            ClaimStep::Read => self.api.get(&kind, &name).and_then(parse_record),
            ClaimStep::Delete(expected) => {
                let deleted = self.api.delete(&kind, &name, *expected);
                deleted.map(|()| ClaimReply::Written(*expected))
            }
            ClaimStep::Done(outcome) => return Err(outcome.clone()),
        };
        Ok(reply.unwrap_or_else(|e| reply_of(&e, task.command.id())))
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

fn parse_record(object: Option<ObjectBody>) -> Result<ClaimReply, Error> {
    let Some(object) = object else {
        return Ok(ClaimReply::Absent);
    };
    let step = Step::new("read claim");
    let body: ClaimBody = serde_json::from_str(&object.value)
        .map_err(|e| Error::new(ErrorKind::Protocol, step, e))?;
    Ok(ClaimReply::Found(object.version, body.try_into()?))
}

fn reply_of(error: &Error, id: RequestId) -> ClaimReply {
    match error.kind() {
        ErrorKind::Conflict => ClaimReply::Conflict,
        ErrorKind::Limited => ClaimReply::Limited,
        _ => {
            log::warn!(request:% = id, step = error.step().as_str(), error:% = error; "a platform call for a claim failed");
            ClaimReply::Lost
        }
    }
}

//! The thread that reads and writes retirements of weights.

use std::thread;
use std::time::{Duration, Instant};

use azureway_core::prelude::*;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::ObjectBody;
use azureway_wire::retirement::{RETIREMENT_KIND, RetirementBody};
use flume::{Receiver, RecvTimeoutError, Sender};

use super::RetirementMessage;
use crate::site::SiteUpdate;

/// Keeps the retirements of weights at the platform: reads them when the process starts and after each
/// disturbance, and writes those that the store does not have. It retries until the platform has answered.
#[derive(Debug)]
pub struct RetirementKeeper<A> {
    api: A,
    messages: Receiver<RetirementMessage>,
    updates: Sender<SiteUpdate>,
    backoff: Backoff,
    spread: Backoff,
}

/// The step that errors of this duty name.
const STEP: Step = Step::new("keep retirements");
/// The initial backoff after a failed call.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The maximum backoff after a failed call. An entry that starts during an outage must know soon after it
/// which weights were given up before.
const BACKOFF_CAP: Duration = Duration::from_millis(500);
/// The longest time before a retirement is written. All entries give weights up at about the same time, and
/// one of them is enough to write it.
const SPREAD: Duration = Duration::from_millis(600);
/// The time after a read at which the retirements are read once more: others may have written theirs only when
/// the platform was back.
const REREAD_DELAY: Duration = Duration::from_millis(1_500);

impl<A: ObjectApi> RetirementKeeper<A> {
    /// Creates the duty, which sends what it reads to the site duty. `seed` randomizes its delays.
    pub const fn new(
        api: A,
        messages: Receiver<RetirementMessage>,
        updates: Sender<SiteUpdate>,
        seed: u64,
    ) -> Self {
        Self {
            api,
            messages,
            updates,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed),
            spread: Backoff::new(SPREAD, SPREAD, seed),
        }
    }

    /// Runs until the site duty ends.
    pub fn run(mut self) {
        self.retry(Self::read);
        let mut read_at = Some(Instant::now() + REREAD_DELAY);
        loop {
            let message = match read_at {
                Some(time) => self.messages.recv_deadline(time),
                None => self
                    .messages
                    .recv()
                    .map_err(|_| RecvTimeoutError::Disconnected),
            };
            match message {
                Ok(RetirementMessage::Store(model, oldest)) => {
                    thread::park_timeout(self.spread.next_delay());
                    self.spread.reset();
                    self.retry(|keeper| keeper.store(&model, oldest));
                }
                Ok(RetirementMessage::Read) => {
                    self.retry(Self::read);
                    read_at = Some(Instant::now() + REREAD_DELAY);
                }
                Err(RecvTimeoutError::Timeout) => {
                    self.retry(Self::read);
                    read_at = None;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Makes a call until it succeeds.
    fn retry(&mut self, call: impl Fn(&Self) -> Result<(), Error>) {
        let mut failing = false;
        while let Err(e) = call(self) {
            // Another entry has just stored one.
            let is_race = e.kind() == ErrorKind::Conflict;
            if !failing && !is_race {
                log::warn!(step = STEP.as_str(), error:% = e; "retirements of weights could not be read or stored");
            }
            failing |= !is_race;
            thread::park_timeout(self.backoff.next_delay());
        }
        self.backoff.reset();
    }

    fn read(&self) -> Result<(), Error> {
        for object in &self.api.list(RETIREMENT_KIND)?.objects {
            match decode(object) {
                Ok(oldest) => {
                    let model = ModelId::new(&object.name);
                    // The site duty ends only with the process.
                    let _ = self.updates.send(SiteUpdate::Retired(model, oldest));
                }
                Err(e) => {
                    log::warn!(step = STEP.as_str(), model = object.name.as_str(), error:% = e; "a retirement of weights cannot be decoded");
                }
            }
        }
        Ok(())
    }

    /// Stores that the weights older than `oldest` were given up, unless another entry has.
    fn store(&self, model: &ModelId, oldest: WeightsVersion) -> Result<(), Error> {
        let known = self.api.get(RETIREMENT_KIND, model.as_str())?;
        let stored = known.as_ref().and_then(|o| decode(o).ok());
        if stored.is_some_and(|stored| stored >= oldest) {
            return Ok(());
        }
        let value = serde_json::to_string(&RetirementBody::from(oldest))
            .map_err(|e| Error::new(ErrorKind::Invalid, STEP, e))?;
        self.api.put(&Put {
            kind: RETIREMENT_KIND,
            name: model.as_str(),
            value: &value,
            expected: known.map_or(0, |o| o.version),
        })?;
        log::info!(step = STEP.as_str(), model:% = model, oldest:% = oldest; "a retirement of weights is stored");
        Ok(())
    }
}

fn decode(object: &ObjectBody) -> Result<WeightsVersion, Error> {
    let body: Result<RetirementBody, _> = serde_json::from_str(&object.value);
    let body = body.map_err(|e| Error::new(ErrorKind::Protocol, STEP, e))?;
    Ok(body.into())
}

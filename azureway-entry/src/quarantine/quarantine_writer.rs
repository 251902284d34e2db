//! The thread that writes quarantined parts to the platform.

use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::quarantine::{QUARANTINE_KIND, QuarantineBody};
use flume::Receiver;

use crate::clock::Clock;

/// Writes quarantined parts to the platform, and retries until the platform has answered.
#[derive(Debug)]
pub struct QuarantineWriter<A> {
    api: A,
    changes: Receiver<QuarantineChange>,
    backoff: Backoff,
}

/// The step that errors of this duty name.
const STEP: Step = Step::new("store quarantine");
/// The initial backoff after a failed call.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The maximum backoff after a failed call. A part must be stored soon after an outage, since the
/// entries may be restarted next.
const BACKOFF_CAP: Duration = Duration::from_millis(500);

impl<A: ObjectApi> QuarantineWriter<A> {
    /// Creates the duty. `seed` randomizes its retries.
    pub const fn new(api: A, changes: Receiver<QuarantineChange>, seed: u64) -> Self {
        Self {
            api,
            changes,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed),
        }
    }

    /// Runs until the deciding duty ends.
    pub fn run(mut self) {
        while let Ok(change) = self.changes.recv() {
            while let Err(e) = self.execute(&change) {
                log::warn!(step = STEP.as_str(), part:% = change.part(), error:% = e; "a quarantined part could not be stored or removed");
                thread::park_timeout(self.backoff.next_delay());
            }
            self.backoff.reset();
        }
    }

    fn execute(&self, change: &QuarantineChange) -> Result<(), Error> {
        match change {
            QuarantineChange::Stored(record) => self.store(record),
            QuarantineChange::Removed(part) => self.remove(&part.to_string()),
        }
    }

    fn store(&self, record: &QuarantineRecord) -> Result<(), Error> {
        let until = Clock::unix_seconds() + CrashReport::TTL.as_secs();
        let value = serde_json::to_string(&QuarantineBody::new(record, until))
            .map_err(|e| Error::new(ErrorKind::Invalid, STEP, e))?;
        let name = record.part.to_string();
        let put = |expected| Put {
            kind: QUARANTINE_KIND,
            name: &name,
            value: &value,
            expected,
        };
        match self.api.put(&put(0)) {
            // Another entry has stored the part, or an expired quarantine of it is still stored.
            Err(e) if e.kind() == ErrorKind::Conflict => {
                let known = self.api.get(QUARANTINE_KIND, &name)?;
                match known.filter(|object| is_expired(&object.value)) {
                    Some(object) => self.api.put(&put(object.version)).map(drop),
                    None => Ok(()),
                }
            }
            stored => stored.map(drop),
        }?;
        log::info!(step = STEP.as_str(), part:% = record.part, crashes = record.reports.len(); "a quarantined part is stored");
        Ok(())
    }

    fn remove(&self, name: &str) -> Result<(), Error> {
        let Some(object) = self.api.get(QUARANTINE_KIND, name)? else {
            return Ok(());
        };
        match self.api.delete(QUARANTINE_KIND, name, object.version) {
            // Another entry has removed it.
            Err(e) if e.kind() == ErrorKind::Conflict => Ok(()),
            removed => removed,
        }?;
        log::info!(step = STEP.as_str(), part = name; "a quarantined part was cleared and removed");
        Ok(())
    }
}

/// Returns whether a stored quarantine has ended or cannot be decoded.
fn is_expired(value: &str) -> bool {
    let body: Result<QuarantineBody, _> = serde_json::from_str(value);
    body.map_or(true, |body| body.until <= Clock::unix_seconds())
}

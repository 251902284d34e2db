//! Entry instances of a site find each other through a list at the platform.

use std::thread;
use std::time::Duration;

use azureway_core::prelude::{Error, ErrorKind, InstanceId, Step};
use azureway_objects::{ObjectApi, Put};
use azureway_wire::instance::{INSTANCE_KIND, InstanceBody};
use flume::Sender;

use super::InstanceList;
use crate::peer::PeerMessage;

/// Writes this instance into the platform's list of instances and reads the list. It reads often
/// after the start, since all instances may have started at once, and then rarely, since peers
/// learn of one another by gossip.
#[derive(Debug)]
pub struct Registrar<A> {
    api: A,
    me: InstanceId,
    body: InstanceBody,
    peer: Sender<PeerMessage>,
    written: bool,
}

/// The step that errors of this duty name.
const STEP: Step = Step::new("register instance");
/// The first delay between two reads of the list, which doubles with each success.
const MIN_DELAY: Duration = Duration::from_millis(1_000);
/// The longest delay between two reads of the list.
const MAX_DELAY: Duration = Duration::from_secs(60);

/// The time within which instances that start together have written themselves into the list: they start within
/// 0.3 s of one another.
const START_SPREAD: Duration = Duration::from_millis(350);
/// The delay from which on an older list will do. Instances that started together have found each other by
/// then.
const STALE_DELAY: Duration = Duration::from_millis(4_000);

impl<A: ObjectApi> Registrar<A> {
    /// Creates the duty that registers the instance `me` with `body`.
    pub const fn new(
        api: A,
        me: InstanceId,
        body: InstanceBody,
        peer: Sender<PeerMessage>,
    ) -> Self {
        Self {
            api,
            me,
            body,
            peer,
            written: false,
        }
    }

    /// Runs until the peer duty ends.
    pub fn run(mut self) {
        let mut delay = MIN_DELAY;
        loop {
            let result = self.register().and_then(|()| self.list(delay));
            match result {
                Ok(true) => delay = (delay * 2).min(MAX_DELAY),
                Ok(false) => return,
                Err(e) => {
                    log::warn!(step = e.step().as_str(), error:% = e; "registering or listing instances failed");
                    // A restore may have lost the registration.
                    self.written &= e.kind() != ErrorKind::Restored;
                    delay = MIN_DELAY;
                }
            }
            thread::park_timeout(delay);
        }
    }

    /// Writes this instance into the list unless that has succeeded before. If the answer to a
    /// write is lost, the next call finds out from the stored object whether the write took effect.
    fn register(&mut self) -> Result<(), Error> {
        if self.written {
            return Ok(());
        }
        let value = serde_json::to_string(&self.body);
        let value = value.map_err(|e| Error::new(ErrorKind::Invalid, STEP, e))?;
        match self.write(&value, 0) {
            Err(e) if e.kind() == ErrorKind::Conflict => {
                let known = self.api.get(INSTANCE_KIND, self.me.as_str())?;
                let is_current = known.as_ref().is_some_and(|o| {
                    serde_json::from_str(&o.value).is_ok_and(|b: InstanceBody| b == self.body)
                });
                if !is_current {
                    self.write(&value, known.map_or(0, |o| o.version))?;
                }
            }
            written => {
                written?;
            }
        }
        self.written = true;
        // Otherwise the first list would show only some of the instances that start together.
        thread::park_timeout(START_SPREAD);
        Ok(())
    }

    fn write(&self, value: &str, expected: u64) -> Result<u64, Error> {
        self.api.put(&Put {
            kind: INSTANCE_KIND,
            name: self.me.as_str(),
            value,
            expected,
        })
    }

    /// Reads the list and sends it to the peer duty. Returns whether the peer duty still runs.
    fn list(&self, delay: Duration) -> Result<bool, Error> {
        let list = match delay < STALE_DELAY {
            true => self.api.list(INSTANCE_KIND)?,
            false => self.api.list_stale(INSTANCE_KIND)?,
        };
        let InstanceList { entries, .. } = InstanceList::from(&list);
        Ok(self.peer.send(PeerMessage::Listed(entries)).is_ok())
    }
}

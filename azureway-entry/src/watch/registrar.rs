//! Telling the platform of this instance and hearing of the others.

use std::thread;
use std::time::Duration;

use azureway_core::prelude::{Error, ErrorKind, InstanceId, Step};
use azureway_objects::{ObjectApi, Put};
use azureway_wire::instance::{INSTANCE_KIND, InstanceBody};
use flume::Sender;

use super::InstanceList;
use crate::peer::PeerMessage;

/// Writes this instance into the platform's list of instances, and reads who else is there:
/// often after the start, when all instances may have started at once, then rarely, since
/// peers tell one another.
#[derive(Debug)]
pub struct Registrar<A> {
    api: A,
    me: InstanceId,
    body: InstanceBody,
    peer: Sender<PeerMessage>,
    written: bool,
}

/// The step that errors of this duty arise at.
const STEP: Step = Step::new("register instance");
/// The first wait before the list is read again.
const FIRST_WAIT: Duration = Duration::from_millis(1_000);
/// The longest wait before the list is read again.
const LAST_WAIT: Duration = Duration::from_secs(60);

impl<A: ObjectApi> Registrar<A> {
    /// Creates the duty of an instance.
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
        let mut wait = FIRST_WAIT;
        loop {
            let done = self.register().and_then(|()| self.read());
            match done {
                Ok(true) => wait = (wait * 2).min(LAST_WAIT),
                Ok(false) => return,
                Err(e) => {
                    log::warn!(step = e.step().as_str(), error:% = e; "no list of instances");
                    wait = FIRST_WAIT;
                }
            }
            thread::park_timeout(wait);
        }
    }

    /// Writes this instance, unless it stands there already. An answer that was lost leaves it
    /// open whether it does, and the next call finds out.
    fn register(&mut self) -> Result<(), Error> {
        if self.written {
            return Ok(());
        }
        let value = serde_json::to_string(&self.body);
        let value = value.map_err(|e| Error::new(ErrorKind::Invalid, STEP, e))?;
        match self.write(&value, 0) {
            Err(e) if e.kind() == ErrorKind::Conflict => {
                let known = self.api.get(INSTANCE_KIND, self.me.as_str())?;
                let same = known.as_ref().is_some_and(|o| {
                    serde_json::from_str(&o.value).is_ok_and(|b: InstanceBody| b == self.body)
                });
                if !same {
                    self.write(&value, known.map_or(0, |o| o.version))?;
                }
            }
            written => {
                written?;
            }
        }
        self.written = true;
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

    /// Reads the list and passes it on. Returns whether anybody hears it.
    fn read(&self) -> Result<bool, Error> {
        let list = self.api.list(INSTANCE_KIND)?;
        let InstanceList { entries, .. } = InstanceList::from(&list);
        Ok(self.peer.send(PeerMessage::Listed(entries)).is_ok())
    }
}

//! Watching the configuration.

use std::sync::Arc;
use std::time::Duration;

use azureway_config::document;
use azureway_core::prelude::*;
use azureway_platform::ObjectApi;
use azureway_wire::object::{ObjectBody, ObjectList};
use flume::{Receiver, RecvTimeoutError, Sender};

use crate::admit::AdmitNote;
use crate::decide::DecideNote;

/// Watches the configuration document and passes each good version on.
#[derive(Debug)]
pub struct Watcher<A> {
    api: A,
    admit: Sender<AdmitNote>,
    decide: Sender<DecideNote>,
    stop: Receiver<()>,
    backoff: Backoff,
}

/// The kind of the object that holds the document.
const CONFIG_KIND: &str = "config";
/// The name of the object that holds the document.
const CONFIG_NAME: &str = "document";
/// How long the platform keeps a watch that has no news.
const WAIT: Duration = Duration::from_secs(5);
/// The first wait after a failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The longest wait after a failure: half of the time in which a change is in force.
const BACKOFF_CAP: Duration = Duration::from_secs(5);

impl<A: ObjectApi> Watcher<A> {
    /// Creates the duty. `seed` spreads the retries of instances that fail together.
    pub fn new(
        api: A,
        admit: Sender<AdmitNote>,
        decide: Sender<DecideNote>,
        stop: Receiver<()>,
        seed: u64,
    ) -> Self {
        let backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed);
        Self {
            api,
            admit,
            decide,
            stop,
            backoff,
        }
    }

    /// Runs until the daemon stops.
    pub fn run(mut self) {
        let mut after = None;
        while !self.is_stopped(Duration::ZERO) {
            match self.ask(after) {
                Ok(list) => {
                    self.backoff.reset();
                    after = Some(list.version);
                    self.pass_on(&list);
                }
                Err(e) => {
                    log::warn!(step = e.step().as_str(), error:% = e; "the platform does not answer");
                    after = None;
                    let wait = self.backoff.fail();
                    if self.is_stopped(wait) {
                        break;
                    }
                }
            }
        }
    }

    fn is_stopped(&self, wait: Duration) -> bool {
        !matches!(self.stop.recv_timeout(wait), Err(RecvTimeoutError::Timeout))
    }

    fn ask(&self, after: Option<u64>) -> Result<ObjectList, Error> {
        match after {
            None => self.api.list(CONFIG_KIND),
            Some(version) => self.api.watch(CONFIG_KIND, version, WAIT),
        }
    }

    fn pass_on(&self, list: &ObjectList) {
        let named = list
            .objects
            .iter()
            .filter(|o| o.name == CONFIG_NAME && !o.deleted);
        if let Some(object) = named.max_by_key(|o| o.version) {
            self.adopt(object);
        }
    }

    fn adopt(&self, object: &ObjectBody) {
        match document::parse(&object.value, ConfigVersion::new(object.version)) {
            Ok(fleet) => {
                let fleet = Arc::new(fleet);
                let _ = self.admit.send(AdmitNote::Adopt(Arc::clone(&fleet)));
                let _ = self.decide.send(DecideNote::Adopt(fleet));
            }
            Err(faults) => {
                let count = faults.as_slice().len();
                log::error!(step = "read document", version = object.version, count = count; "{faults}");
            }
        }
    }
}

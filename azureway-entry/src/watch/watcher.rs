//! Watching the configuration.

use std::sync::Arc;
use std::time::Duration;

use azureway_config::document;
use azureway_config::ini::Faults;
use azureway_core::config::Sections;
use azureway_core::prelude::*;
use azureway_platform::ObjectApi;
use azureway_wire::change::{DOCUMENT_KIND, DOCUMENT_NAME, StoredDocument};
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
    gate: VersionGate,
}

/// How long the platform keeps a watch that has no news.
const WAIT: Duration = Duration::from_secs(5);
/// The first wait after a failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The longest wait after a failure: half of the time in which a change is in force.
const BACKOFF_CAP: Duration = Duration::from_secs(5);

/// The faults of a bad document that are logged, each on a line of its own.
const FAULTS_LOGGED: usize = 20;

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
            gate: VersionGate::new(),
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
            None => self.api.list(DOCUMENT_KIND),
            Some(version) => self.api.watch(DOCUMENT_KIND, version, WAIT),
        }
    }

    fn pass_on(&mut self, list: &ObjectList) {
        let named = list
            .objects
            .iter()
            .filter(|o| o.name == DOCUMENT_NAME && !o.deleted);
        if let Some(object) = named.max_by_key(|o| o.version) {
            self.adopt(object);
        }
    }

    fn adopt(&mut self, object: &ObjectBody) {
        let version = ConfigVersion::new(object.version);
        // A list after a failure brings the same version again, and a slow read an older one.
        if !self.gate.is_news(version) {
            return;
        }
        match document::parse(&object.value, version) {
            Ok(fleet) => self.enforce(fleet),
            Err(faults) => self.reject(object, &faults),
        }
    }

    fn enforce(&mut self, fleet: Fleet) {
        self.gate.accept(fleet.version);
        let fleet = Arc::new(fleet);
        let _ = self.admit.send(AdmitNote::Adopt(Arc::clone(&fleet)));
        let _ = self.decide.send(DecideNote::Adopt(fleet));
    }

    fn reject(&mut self, object: &ObjectBody, faults: &Faults) {
        let version = ConfigVersion::new(object.version);
        self.gate.reject(version);
        let (count, kept) = (faults.as_slice().len(), self.gate.accepted());
        log::error!(step = "read document", version:% = version, kept:% = kept, count = count; "the document is bad");
        for fault in faults.as_slice().iter().take(FAULTS_LOGGED) {
            log::error!(step = "read document", version:% = version; "{fault}");
        }
        let _ = self.decide.send(DecideNote::Rejected(version));
        if kept == ConfigVersion::ZERO {
            self.step_back(object);
        }
    }

    /// Takes the last change back, for a daemon that starts when the newest version is bad.
    fn step_back(&mut self, object: &ObjectBody) {
        let version = ConfigVersion::new(object.version);
        let current = StoredDocument::parse(&object.value).snapshot(version);
        let Some(record) = current.record else {
            return;
        };
        let text = record
            .delta
            .inverse()
            .apply(&Sections::parse(&current.text));
        if let Ok(fleet) = document::parse(&text, record.from) {
            log::warn!(step = "read document", version:% = record.from; "the version before is good");
            self.enforce(fleet);
        }
    }
}

//! Watching the configuration.

use std::sync::Arc;
use std::time::Duration;

use azureway_config::document;
use azureway_config::ini::Faults;
use azureway_core::config::Sections;
use azureway_core::prelude::*;
use azureway_objects::ObjectApi;
use azureway_wire::change::{DOCUMENT_KIND, DOCUMENT_NAME, StoredDocument};
use azureway_wire::instance::INSTANCE_KIND;
use azureway_wire::object::{ObjectBody, ObjectList};
use flume::{Receiver, RecvTimeoutError, Sender};

use super::{InstanceList, WatchMessage};
use crate::admit::AdmitMessage;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::peer::{Document, PeerMessage};

/// Watches the configuration document and passes each good version on.
#[derive(Debug)]
pub struct ConfigWatcher<A> {
    api: A,
    admit: Sender<AdmitMessage>,
    decide: Sender<DecideMessage>,
    peer: Sender<PeerMessage>,
    messages: Receiver<WatchMessage>,
    clock: Clock,
    plan: WatchSchedule,
    gate: VersionGate,
    listed: Timestamp,
}

/// The time between two readings of the list of instances.
const LIST_TIME: Duration = Duration::from_secs(10);
/// The faults of a bad document that are logged, each on a line of its own.
const FAULTS_LOGGED: usize = 20;

impl<A: ObjectApi> ConfigWatcher<A> {
    /// Creates the duty. `seed` spreads the retries of instances that fail together.
    pub fn new(
        api: A,
        admit: Sender<AdmitMessage>,
        decide: Sender<DecideMessage>,
        peer: Sender<PeerMessage>,
        messages: Receiver<WatchMessage>,
        seed: u64,
    ) -> Self {
        Self {
            api,
            admit,
            decide,
            peer,
            messages,
            clock: Clock::new(),
            plan: WatchSchedule::new(seed),
            gate: VersionGate::new(),
            listed: Timestamp::ZERO,
        }
    }

    /// Runs until the daemon stops.
    pub fn run(mut self) {
        let mut until = self.clock.now();
        while self.heed(until) {
            let now = self.clock.now();
            if now >= self.listed {
                self.list_instances(now);
            }
            let answer = match self.plan.next(now) {
                WatchStep::List => self.api.list(DOCUMENT_KIND),
                WatchStep::Watch(after, wait) => self.api.watch(DOCUMENT_KIND, after, wait),
                WatchStep::Wait(time) => {
                    until = time.min(self.listed);
                    continue;
                }
            };
            until = self.clock.now();
            self.take(answer, until);
        }
    }

    /// Waits until a time or the next message. Returns whether the daemon goes on.
    fn heed(&mut self, until: Timestamp) -> bool {
        match self.messages.recv_deadline(self.clock.instant(until)) {
            Ok(WatchMessage::Selected(selected)) => {
                self.plan.set_selected(selected, self.clock.now());
                true
            }
            Ok(WatchMessage::Stop) | Err(RecvTimeoutError::Disconnected) => false,
            Err(RecvTimeoutError::Timeout) => true,
        }
    }

    fn take(&mut self, answer: Result<ObjectList, Error>, now: Timestamp) {
        match answer {
            Ok(list) => {
                self.plan.record_success(list.version, now);
                self.pass_on(&list);
            }
            Err(e) => {
                log::warn!(step = e.step().as_str(), error:% = e; "the platform does not answer");
                self.plan.record_failure(e.kind(), now);
            }
        }
    }

    /// Reads the platform's list of instances, and passes it on.
    fn list_instances(&mut self, now: Timestamp) {
        self.listed = now + LIST_TIME;
        match self.api.list(INSTANCE_KIND) {
            Ok(list) => {
                let InstanceList { entries, leaving } = InstanceList::from(&list);
                let _ = self.peer.send(PeerMessage::Listed(entries));
                let _ = self.decide.send(DecideMessage::Leaving(leaving));
            }
            Err(e) => log::warn!(step = e.step().as_str(), error:% = e; "no list of instances"),
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
        if !self.gate.is_newer(version) {
            return;
        }
        if StoredDocument::parse(&object.value).record.is_none() {
            log::warn!(step = "read document", version:% = version; "the version has no record in the audit trail");
        }
        match document::parse(&object.value, version) {
            Ok(fleet) => self.enforce(fleet, &object.value),
            Err(faults) => self.reject(object, &faults),
        }
    }

    fn enforce(&mut self, fleet: Fleet, text: &str) {
        self.gate.accept(fleet.version);
        let document = Document::new(fleet.version, text);
        let fleet = Arc::new(fleet);
        let _ = self
            .admit
            .send(AdmitMessage::Configured(Arc::clone(&fleet)));
        let _ = self.decide.send(DecideMessage::Configured(fleet));
        let _ = self.peer.send(PeerMessage::Configured(document));
    }

    fn reject(&mut self, object: &ObjectBody, faults: &Faults) {
        let version = ConfigVersion::new(object.version);
        self.gate.reject(version);
        let (count, kept) = (faults.as_slice().len(), self.gate.accepted());
        log::error!(step = "read document", version:% = version, kept:% = kept, count = count; "the document is bad");
        for fault in faults.as_slice().iter().take(FAULTS_LOGGED) {
            log::error!(step = "read document", version:% = version; "{fault}");
        }
        let _ = self.decide.send(DecideMessage::ConfigRejected(version));
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
            self.enforce(fleet, &text);
        }
    }
}

//! The watching duty, which reads the configuration.

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

/// Watches the configuration document and sends each valid version to the other duties.
#[derive(Debug)]
pub struct ConfigWatcher<A> {
    api: A,
    admit: Sender<AdmitMessage>,
    decide: Sender<DecideMessage>,
    peer: Sender<PeerMessage>,
    messages: Receiver<WatchMessage>,
    clock: Clock,
    schedule: WatchSchedule,
    gate: VersionGate,
    list_interval: Duration,
    /// The time at which the list of instances is read next.
    next_list: Timestamp,
}

/// The default interval between two reads of the list of instances.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The largest number of faults of an invalid document that are logged, each on a line of its own.
const MAX_FAULTS: usize = 20;

impl<A: ObjectApi> ConfigWatcher<A> {
    /// Creates the duty. `seed` randomizes retries, so that instances that fail together do not
    /// retry together.
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
            schedule: WatchSchedule::new(seed),
            gate: VersionGate::new(),
            list_interval: LIST_INTERVAL,
            next_list: Timestamp::ZERO,
        }
    }

    /// Sets the interval between two reads of the list of instances. The default is 10 s.
    #[must_use]
    pub const fn with_list_interval(mut self, interval: Duration) -> Self {
        self.list_interval = interval;
        self
    }

    /// Runs until the daemon shuts down.
    pub fn run(mut self) {
        let mut until = self.clock.now();
        while self.wait(until) {
            let now = self.clock.now();
            if now >= self.next_list {
                self.list_instances(now);
            }
            let answer = match self.schedule.next(now) {
                WatchStep::List => self.api.list(DOCUMENT_KIND),
                WatchStep::Watch(after, wait) => self.api.watch(DOCUMENT_KIND, after, wait),
                WatchStep::Wait(time) => {
                    until = time.min(self.next_list);
                    continue;
                }
            };
            until = self.clock.now();
            self.handle_answer(answer, until);
        }
    }

    /// Waits until `until` or the next message. Returns false if the duty has to stop.
    fn wait(&mut self, until: Timestamp) -> bool {
        match self.messages.recv_deadline(self.clock.instant(until)) {
            Ok(WatchMessage::Selected(selected)) => {
                self.schedule.set_selected(selected, self.clock.now());
                true
            }
            Ok(WatchMessage::Stop) | Err(RecvTimeoutError::Disconnected) => false,
            Err(RecvTimeoutError::Timeout) => true,
        }
    }

    fn handle_answer(&mut self, answer: Result<ObjectList, Error>, now: Timestamp) {
        match answer {
            Ok(list) => {
                self.schedule.record_success(list.version, now);
                self.apply_list(&list);
            }
            Err(e) => {
                log::warn!(step = e.step().as_str(), error:% = e; "the platform does not answer");
                self.schedule.record_failure(e.kind(), now);
            }
        }
    }

    /// Reads the platform's list of instances and sends it to the peer and deciding duties.
    fn list_instances(&mut self, now: Timestamp) {
        self.next_list = now + self.list_interval;
        match self.api.list(INSTANCE_KIND) {
            Ok(list) => {
                let InstanceList { entries, leaving } = InstanceList::from(&list);
                let _ = self.peer.send(PeerMessage::Listed(entries));
                let _ = self.decide.send(DecideMessage::Leaving(leaving));
            }
            Err(e) => {
                log::warn!(step = e.step().as_str(), error:% = e; "the list of instances cannot be read");
                // The client reports a restore once, and the document is read with the same client.
                if e.kind() == ErrorKind::Restored {
                    self.schedule.record_failure(e.kind(), now);
                    self.next_list = now;
                }
            }
        }
    }

    fn apply_list(&mut self, list: &ObjectList) {
        let versions = list
            .objects
            .iter()
            .filter(|o| o.name == DOCUMENT_NAME && !o.deleted);
        if let Some(object) = versions.max_by_key(|o| o.version) {
            self.load(object);
        }
    }

    /// Parses a newer version of the document, which is then applied or rejected.
    fn load(&mut self, object: &ObjectBody) {
        let version = ConfigVersion::new(object.version);
        // A list call after a failure returns the same version again, and a delayed read may
        // return an older one.
        if !self.gate.is_newer(version) {
            return;
        }
        if StoredDocument::parse(&object.value).record.is_none() {
            log::warn!(step = "read document", version:% = version; "the version has no record in the audit trail");
        }
        match document::parse(&object.value, version) {
            Ok(fleet) => self.apply(fleet, &object.value),
            Err(faults) => self.reject(object, &faults),
        }
    }

    /// Puts a version into force: sends it to the duties that use it.
    fn apply(&mut self, fleet: Fleet, text: &str) {
        self.gate.accept(fleet.version);
        let document = Document::new(fleet.version, text);
        let _ = self.admit.send(AdmitMessage::Configured(Arc::new(fleet)));
        let _ = self.peer.send(PeerMessage::Configured(document));
    }

    /// Logs the faults of an invalid version and keeps the version in force.
    fn reject(&mut self, object: &ObjectBody, faults: &Faults) {
        let version = ConfigVersion::new(object.version);
        self.gate.reject(version);
        let (count, kept) = (faults.as_slice().len(), self.gate.accepted());
        log::error!(step = "read document", version:% = version, kept:% = kept, count = count; "the document is bad");
        for fault in faults.as_slice().iter().take(MAX_FAULTS) {
            log::error!(step = "read document", version:% = version; "{fault}");
        }
        let _ = self.decide.send(DecideMessage::ConfigRejected(version));
        if kept == ConfigVersion::ZERO {
            self.apply_previous(object);
        }
    }

    /// Reverts the last change and applies the version before it, so that a daemon that starts
    /// while the newest version is invalid has a configuration.
    fn apply_previous(&mut self, object: &ObjectBody) {
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
            log::warn!(step = "read document", version:% = record.from; "the previous version is valid and is applied");
            self.apply(fleet, &text);
        }
    }
}

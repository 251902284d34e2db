//! The fake store of the edit tests, which carries out steps and can lose their answers.

use std::collections::BTreeMap;

use azureway_core::config::{AcceptedChange, ConditionalWrite, DocumentCheck, History};
use azureway_core::prelude::*;

/// An in-memory store with conditional writes and one version counter, which can lose answers.
#[derive(Debug, Default)]
pub(crate) struct Store {
    version: u64,
    current: Snapshot,
    archive: BTreeMap<String, AcceptedChange>,
    /// Every accepted write, in order.
    pub(crate) log: Vec<AcceptedChange>,
    lose_answer: bool,
}

impl Store {
    /// Creates a store with a document that has no record, or without one if `text` is empty.
    pub(crate) fn new(text: &str) -> Self {
        let version = u64::from(!text.is_empty());
        Self {
            version,
            current: Snapshot::new(ConfigVersion::new(version), text),
            ..Self::default()
        }
    }

    pub(crate) fn text(&self) -> &str {
        &self.current.text
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        self.current.clone()
    }

    /// Makes the next write take effect but lose its answer.
    pub(crate) fn lose_next_answer(&mut self) {
        self.lose_answer = true;
    }

    /// Returns the audit trail: the archived records and the document's own record.
    pub(crate) fn history(&self) -> History {
        let mut history = History::new();
        self.archive
            .values()
            .cloned()
            .for_each(|c| history.insert(c));
        self.current
            .last_change()
            .into_iter()
            .for_each(|c| history.insert(c));
        history
    }

    pub(crate) fn write(&mut self, write: &ConditionalWrite) -> EditReply {
        if write.expected != self.current.version {
            return EditReply::VersionMismatch;
        }
        self.version += 1;
        let version = ConfigVersion::new(self.version);
        let record = write.record.clone();
        self.current = Snapshot::new(version, &write.text).with_record(Some(record.clone()));
        self.log.push(AcceptedChange { version, record });
        if std::mem::take(&mut self.lose_answer) {
            return EditReply::NoAnswer;
        }
        EditReply::Written(version)
    }

    pub(crate) fn archive(&mut self, change: &AcceptedChange) -> EditReply {
        let name = change.record.metadata.id.to_string();
        if !self.archive.contains_key(&name) {
            self.version += 1;
            self.archive.insert(name, change.clone());
        }
        EditReply::Archived
    }

    pub(crate) fn find(&self, id: &ChangeId) -> EditReply {
        EditReply::Found(self.archive.get(id.as_str()).map(|c| c.version))
    }

    /// Carries out one step without a fault.
    pub(crate) fn carry_out<C: DocumentCheck>(&mut self, edit: &mut Edit<C>) {
        let reply = match edit.step() {
            EditStep::Read => EditReply::Read(self.snapshot()),
            EditStep::Archive(change) => self.archive(change),
            EditStep::Write(write) => self.write(write),
            EditStep::Find(metadata) => self.find(&metadata.id),
            EditStep::Done => return,
        };
        edit.handle(reply);
    }

    /// Carries out all remaining steps.
    pub(crate) fn finish<C: DocumentCheck>(&mut self, edit: &mut Edit<C>) {
        while edit.outcome().is_none() {
            self.carry_out(edit);
        }
    }
}

//! The simulation of concurrent edits, and the invariants that its schedules must keep.

use std::collections::BTreeMap;

use azureway_core::config::{ConditionalWrite, Sections};
use azureway_core::prelude::*;

use super::{Check, Store, document, metadata};

/// Operators that edit one document concurrently, with lost answers, delayed writes and writers
/// that stop.
#[derive(Debug)]
pub(crate) struct Race {
    store: Store,
    edits: Vec<Edit<Check>>,
    ids: Vec<String>,
    delayed: Vec<ConditionalWrite>,
    outcomes: BTreeMap<String, EditOutcome<()>>,
    created: usize,
    lost: usize,
}

/// The document at the start.
const START: &str = "a:x:0 b:x:0 c:x:0";

impl Race {
    pub(crate) fn new(operators: usize) -> Self {
        let mut race = Self {
            store: Store::new(&document(START)),
            edits: Vec::new(),
            ids: Vec::new(),
            delayed: Vec::new(),
            outcomes: BTreeMap::new(),
            created: 0,
            lost: 0,
        };
        for index in 0..operators {
            race.begin(index, index as u16);
        }
        race
    }

    pub(crate) fn accepted(&self) -> usize {
        self.store.log.len()
    }

    pub(crate) fn lost(&self) -> usize {
        self.lost
    }

    /// Starts a new edit of one or two sections by operator `index`.
    fn begin(&mut self, index: usize, draw: u16) {
        self.created += 1;
        let id = format!("e{}", self.created);
        let base = self.store.snapshot();
        let names = ["a", "b", "c"];
        let first = names[usize::from(draw) % 3];
        let second = names[usize::from(draw / 3) % 3];
        let mut text = String::new();
        for section in Sections::parse(&base.text).iter() {
            let chosen = section.name == first || section.name == second;
            let value = section.text.rsplit(' ').next().expect("a value");
            let value = if chosen { id.as_str() } else { value };
            text.push_str(&document(&format!("{}:x:{value}", section.name)));
        }
        let edit = Edit::new(metadata(&id, "x"), &base, &text, Check);
        if index < self.edits.len() {
            self.edits[index] = edit;
            self.ids[index] = id;
        } else {
            self.edits.push(edit);
            self.ids.push(id);
        }
    }

    /// Carries out one step of one operator, with at most one fault; `draw` selects both.
    pub(crate) fn step(&mut self, draw: u16) {
        let index = usize::from(draw) % self.edits.len();
        let fault = (draw / 8) % 16;
        if fault == 15 && !self.delayed.is_empty() {
            let late = self.delayed.remove(0);
            self.store.write(&late);
            return;
        }
        if fault == 14 {
            // The writer stops; its delayed writes stay in flight.
            return self.begin(index, draw / 128);
        }
        let reply = self.reply(index, fault);
        self.edits[index].handle(reply);
        if let Some(outcome) = self.edits[index].outcome() {
            self.outcomes
                .insert(self.ids[index].clone(), outcome.clone());
            self.begin(index, draw / 128);
        }
    }

    fn reply(&mut self, index: usize, fault: u16) -> EditReply {
        match (self.edits[index].step(), fault) {
            (EditStep::Write(write), 10 | 11) => {
                self.store.write(write);
                self.lost += 1;
                EditReply::NoAnswer
            }
            (EditStep::Write(_), 12) => EditReply::NoAnswer,
            (EditStep::Write(write), 13) => {
                self.delayed.push(write.clone());
                EditReply::NoAnswer
            }
            (EditStep::Write(write), _) => self.store.write(write),
            (EditStep::Archive(change), 10 | 11) => {
                self.store.archive(change);
                EditReply::Failed
            }
            (EditStep::Read | EditStep::Archive(_) | EditStep::Find(_), 10..=13) => {
                EditReply::Failed
            }
            (EditStep::Archive(change), _) => self.store.archive(change),
            (EditStep::Find(metadata), _) => self.store.find(&metadata.id),
            (EditStep::Read | EditStep::Done, _) => EditReply::Read(self.store.snapshot()),
        }
    }

    /// Finishes every edit without further faults, then applies every delayed write.
    pub(crate) fn finish(&mut self) {
        for index in 0..self.edits.len() {
            self.store.finish(&mut self.edits[index]);
            let outcome = self.edits[index].outcome().expect("the edit has ended");
            self.outcomes
                .insert(self.ids[index].clone(), outcome.clone());
        }
        let delayed = std::mem::take(&mut self.delayed);
        delayed
            .iter()
            .for_each(|write| drop(self.store.write(write)));
    }

    /// Checks the invariants that hold for every schedule.
    pub(crate) fn check(&self) -> Result<(), String> {
        self.check_outcomes()?;
        self.check_trail()?;
        self.check_text()
    }

    fn check_outcomes(&self) -> Result<(), String> {
        for (id, outcome) in &self.outcomes {
            let writes = self
                .store
                .log
                .iter()
                .filter(|c| c.record.metadata.id.as_str() == id);
            let versions: Vec<_> = writes.map(|c| c.version).collect();
            let holds = match outcome {
                EditOutcome::Accepted(version) => versions == [*version],
                EditOutcome::Unknown => versions.len() <= 1,
                _ => versions.is_empty(),
            };
            if !holds {
                return Err(format!(
                    "{id} ended {outcome:?} and was written as {versions:?}"
                ));
            }
        }
        Ok(())
    }

    fn check_trail(&self) -> Result<(), String> {
        let history = self.store.history();
        let trail: Vec<_> = history.iter().cloned().collect();
        if trail != self.store.log {
            return Err(format!(
                "the audit trail {trail:?} differs from the log {:?}",
                self.store.log
            ));
        }
        let mut version = ConfigVersion::new(1);
        for change in &trail {
            if change.record.from != version {
                return Err(format!("{change:?} does not follow {version}"));
            }
            version = change.version;
        }
        Ok(())
    }

    /// Replays the log section by section. A change whose old text is not in the document would
    /// have overwritten an accepted change.
    fn check_text(&self) -> Result<(), String> {
        let mut text = document(START);
        for change in &self.store.log {
            let sections = Sections::parse(&text);
            let delta = change.record.delta.rebase(&sections);
            if delta.as_ref() != Ok(&change.record.delta) {
                return Err(format!("{change:?} does not apply to {text}"));
            }
            text = change.record.delta.apply(&sections);
        }
        let (replayed, stored) = (Sections::parse(&text), Sections::parse(self.store.text()));
        if replayed.iter().eq(stored.iter()) {
            return Ok(());
        }
        Err(format!("replayed {text}, stored {}", self.store.text()))
    }
}

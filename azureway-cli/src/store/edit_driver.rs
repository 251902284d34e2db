//! Carries out an edit of the document: executes its steps and retries those that fail.

use std::thread;
use std::time::Duration;

use azureway_config::document::Checker;
use azureway_config::ini::Faults;
use azureway_core::config::{Edit, EditOutcome, EditReply, EditStep};
use azureway_core::prelude::{Backoff, Error};
use azureway_objects::ObjectApi;

use super::DocumentStore;

/// Executes the steps of an edit against a store, with a backoff after failed steps.
#[derive(Debug)]
pub(crate) struct EditDriver<'a, A> {
    store: &'a DocumentStore<A>,
    backoff: Backoff,
    /// The error of the last failed step, for the report of an edit that did not succeed.
    pub(crate) last_error: Option<Error>,
}

/// The delay after the first failed step, before jitter.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// The longest delay after a failed step.
const BACKOFF_CAP: Duration = Duration::from_secs(2);

impl<'a, A: ObjectApi> EditDriver<'a, A> {
    /// Creates a driver. Different values of `seed` spread the retries of operators whose steps
    /// fail at the same time.
    pub(crate) const fn new(store: &'a DocumentStore<A>, seed: u64) -> Self {
        let backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed);
        Self {
            store,
            backoff,
            last_error: None,
        }
    }

    /// Runs an edit until it has an outcome, and returns that.
    pub(crate) fn run(&mut self, mut edit: Edit<Checker>) -> EditOutcome<Faults> {
        loop {
            if let Some(outcome) = edit.outcome() {
                return outcome.clone();
            }
            let reply = self.execute_step(edit.step());
            if matches!(reply, EditReply::Failed | EditReply::NoAnswer) {
                thread::park_timeout(self.backoff.next_delay());
            }
            edit.handle(reply);
        }
    }

    /// Executes a step and returns its result.
    fn execute_step(&mut self, step: EditStep<'_>) -> EditReply {
        let reply = match step {
            EditStep::Read => self.store.read().map(EditReply::Read),
            EditStep::Archive(change) => self.store.archive(change).map(|()| EditReply::Archived),
            EditStep::Write(write) => Ok(self.store.write(write)),
            EditStep::Find(metadata) => self.store.find(metadata).map(EditReply::Found),
            EditStep::Done => Ok(EditReply::Failed),
        };
        reply.unwrap_or_else(|e| {
            self.last_error = Some(e);
            EditReply::Failed
        })
    }
}

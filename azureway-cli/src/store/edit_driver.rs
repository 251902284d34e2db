//! Carrying out edits.

use std::thread;
use std::time::Duration;

use azureway_config::document::Checker;
use azureway_config::ini::Faults;
use azureway_core::config::{Edit, EditOutcome, EditReply, EditStep};
use azureway_core::prelude::{Backoff, Error};
use azureway_objects::ObjectApi;

use super::DocumentStore;

/// Carries out the steps of an edit until it is over.
#[derive(Debug)]
pub(crate) struct EditDriver<'a, A> {
    store: &'a DocumentStore<A>,
    backoff: Backoff,
    /// The last error, for the report of an edit that gave up.
    pub(crate) last_error: Option<Error>,
}

/// The first wait after a failed step.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// The longest wait after a failed step.
const BACKOFF_CAP: Duration = Duration::from_secs(2);

impl<'a, A: ObjectApi> EditDriver<'a, A> {
    /// Creates a driver. `seed` spreads the retries of operators that fail together.
    pub(crate) const fn new(store: &'a DocumentStore<A>, seed: u64) -> Self {
        let backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed);
        Self {
            store,
            backoff,
            last_error: None,
        }
    }

    /// Runs an edit to its end.
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

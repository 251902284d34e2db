//! The output of a command after an edit, with its exit code.

use std::fmt;

use azureway_config::ini::Faults;
use azureway_core::config::{ChangeId, EditOutcome};
use azureway_wire::change::VALUE_MAX;
use serde::Serialize;

use super::fault_body::format_count;
use super::{DiffReport, FaultBody};
use crate::Exit;

/// The outcome of an edit and the exit code that it maps to.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EditReport {
    outcome: &'static str,
    id: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    faults: Vec<FaultBody>,
    #[serde(skip_serializing_if = "Option::is_none")]
    conflicts: Option<DiffReport>,
    detail: String,
    #[serde(skip)]
    exit: Exit,
}

impl EditReport {
    pub(crate) fn new(id: &ChangeId, outcome: &EditOutcome<Faults>) -> Self {
        let (outcome_name, exit) = outcome_and_exit(outcome);
        let mut report = Self {
            outcome: outcome_name,
            id: id.as_str().into(),
            version: None,
            faults: Vec::new(),
            conflicts: None,
            detail: describe(id, outcome),
            exit,
        };
        match outcome {
            EditOutcome::Accepted(version) => report.version = Some(version.get()),
            EditOutcome::Invalid(faults) => {
                report.faults = faults.as_slice().iter().map(Into::into).collect();
            }
            EditOutcome::Conflict(changes) => report.conflicts = Some(DiffReport::new(changes)),
            _ => {}
        }
        report
    }

    pub(crate) const fn exit(&self) -> Exit {
        self.exit
    }

    /// Adds the last error, unless the edit succeeded.
    pub(crate) fn with_error(mut self, error: Option<impl fmt::Display>) -> Self {
        if let Some(error) = error.filter(|_| self.exit != Exit::Done) {
            self.detail.push_str(&format!("\nlast error: {error}"));
        }
        self
    }
}

/// Returns the name of an outcome in JSON and its exit code.
fn outcome_and_exit(outcome: &EditOutcome<Faults>) -> (&'static str, Exit) {
    match outcome {
        EditOutcome::Accepted(_) => ("accepted", Exit::Done),
        EditOutcome::Unchanged => ("unchanged", Exit::Done),
        EditOutcome::Conflict(_) => ("conflict", Exit::Conflict),
        EditOutcome::Invalid(_) => ("invalid", Exit::Invalid),
        EditOutcome::NotOwned(_) => ("not-owned", Exit::NotOwned),
        EditOutcome::TooLarge(_) => ("too-large", Exit::Invalid),
        EditOutcome::Unavailable => ("unavailable", Exit::Failed),
        EditOutcome::Unknown => ("unknown", Exit::Unknown),
    }
}

/// Returns the description of an outcome for the operator.
fn describe(id: &ChangeId, outcome: &EditOutcome<Faults>) -> String {
    match outcome {
        EditOutcome::Accepted(version) => format!("accepted as version {version}, change {id}"),
        EditOutcome::Unchanged => "nothing to change".to_owned(),
        EditOutcome::Conflict(changes) => format!(
            "{} of your sections were changed by somebody else; nothing was written. Get the \
             document again and repeat the edit. Their changes:",
            changes.len()
        ),
        EditOutcome::Invalid(faults) => {
            let count = format_count(faults.as_slice().len());
            format!("{faults}\n{count}; nothing was written")
        }
        EditOutcome::NotOwned(names) => format!(
            "these sections belong to another team: {}; nothing was written. Name your team \
             with --team or AZUREWAY_TEAM",
            names.join(", ")
        ),
        EditOutcome::TooLarge(bytes) => format!(
            "the document and the record of the change have {bytes} bytes and the platform \
             holds {VALUE_MAX}; nothing was written"
        ),
        EditOutcome::Unavailable => {
            "the platform did not answer; nothing was written. Try again".to_owned()
        }
        EditOutcome::Unknown => format!(
            "the platform did not answer; the change may have been written or may yet be. Look \
             for it with `azureway config history --id {id}`"
        ),
    }
}

impl fmt::Display for EditReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.detail)?;
        match &self.conflicts {
            Some(conflicts) => conflicts.fmt(f),
            None => Ok(()),
        }
    }
}

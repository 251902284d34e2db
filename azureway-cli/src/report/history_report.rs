//! The output of `config history` for one change, with the difference on request.

use std::fmt;

use azureway_core::config::{AcceptedChange, ChangeTime};
use serde::Serialize;

use super::DiffReport;

/// One change of the audit trail.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct HistoryReport {
    version: u64,
    from: u64,
    time: String,
    author: Box<str>,
    team: Box<str>,
    reason: Box<str>,
    id: Box<str>,
    sections: Vec<Box<str>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    diff: Option<DiffReport>,
}

impl HistoryReport {
    /// Creates the report of a change. It includes the difference that the change made if `diff` is
    /// set.
    pub(crate) fn new(change: &AcceptedChange, diff: bool) -> Self {
        let (metadata, record) = (&change.record.metadata, &change.record);
        let changes = record.delta.changes();
        Self {
            version: change.version.get(),
            from: record.from.get(),
            time: ChangeTime::to_string(&metadata.time),
            author: metadata.author.clone(),
            team: metadata.team.as_str().into(),
            reason: metadata.reason.clone(),
            id: metadata.id.as_str().into(),
            sections: changes.iter().map(|c| c.name.clone()).collect(),
            diff: diff.then(|| DiffReport::new(changes)),
        }
    }
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sections = self.sections.join(", ");
        writeln!(
            f,
            "{} from {}  {}  {} ({})  [{sections}]  {}  change {}",
            self.version, self.from, self.time, self.author, self.team, self.reason, self.id
        )?;
        match &self.diff {
            Some(diff) => diff.fmt(f),
            None => Ok(()),
        }
    }
}

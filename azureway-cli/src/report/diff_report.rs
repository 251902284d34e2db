//! The report of `config diff`, also a part of the reports on conflicts and on past changes.

use std::fmt;

use azureway_core::config::SectionChange;
use azureway_wire::change::SectionBody;
use serde::Serialize;

use super::digests::shorten_digests;
use super::line_diff::LineDiff;

/// The difference between two documents, section by section, with shortened digests of API keys.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DiffReport {
    sections: Vec<SectionBody>,
}

impl DiffReport {
    pub(crate) fn new(changes: &[SectionChange]) -> Self {
        let mut sections: Vec<SectionBody> = changes.iter().map(Into::into).collect();
        for section in &mut sections {
            section.before = section.before.as_deref().map(shorten_digests);
            section.after = section.after.as_deref().map(shorten_digests);
        }
        Self { sections }
    }
}

impl fmt::Display for DiffReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for section in &self.sections {
            let before = section.before.as_deref().unwrap_or_default();
            let after = section.after.as_deref().unwrap_or_default();
            write!(f, "{}", LineDiff::new(before, after))?;
        }
        Ok(())
    }
}

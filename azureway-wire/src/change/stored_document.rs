//! The value of the object that holds the document.

use azureway_core::config::{ChangeRecord, Sections, Snapshot};
use azureway_core::prelude::ConfigVersion;

use super::ChangeBody;

/// The value of the object that holds the document: the record of its last change in a
/// comment on the first line, and the text below. One write thus makes both.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredDocument<'a> {
    /// The record, without the texts after the change, which the document holds.
    pub record: Option<ChangeBody>,
    /// The text.
    pub text: &'a str,
}

/// What the first line begins with.
const RECORD_PREFIX: &str = "; azureway-change ";

impl<'a> StoredDocument<'a> {
    /// Splits a value. One that was written without a record has none.
    pub fn parse(value: &'a str) -> Self {
        let split = value.strip_prefix(RECORD_PREFIX);
        let Some((line, text)) = split.map(|v| v.split_once('\n').unwrap_or((v, ""))) else {
            return Self {
                record: None,
                text: value,
            };
        };
        let record = serde_json::from_str(line).ok();
        Self { record, text }
    }

    /// Returns the value that holds `text` and the record of the change that made it.
    pub fn encode(record: &ChangeRecord, text: &str) -> String {
        let mut body = ChangeBody::new(record);
        body.sections.iter_mut().for_each(|s| s.after = None);
        // A record is a tree of strings and numbers, which always has a JSON form.
        let line = serde_json::to_string(&body).unwrap_or_default();
        format!("{RECORD_PREFIX}{line}\n{text}")
    }

    /// Returns the document as it was read at `version`.
    pub fn snapshot(self, version: ConfigVersion) -> Snapshot {
        let sections = Sections::parse(self.text);
        let record = self.record.map(|mut body| {
            for section in &mut body.sections {
                section.after = sections.get(&section.name).map(|s| s.text.into());
            }
            ChangeRecord::from(body)
        });
        Snapshot::new(version, self.text).with_record(record)
    }
}

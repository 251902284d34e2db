//! Joins the document and its last audit record into one stored value, and splits it.

use azureway_core::config::{ChangeRecord, Sections, Snapshot};
use azureway_core::prelude::ConfigVersion;

use super::ChangeBody;

/// The stored form of the operators' document: the record of its last change in a comment on the
/// first line, followed by the text. One write thus stores both atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredDocument<'a> {
    /// The record of the last change, if any. It omits the texts after the change, which are those
    /// of the document.
    pub record: Option<ChangeBody>,
    /// The text of the document.
    pub text: &'a str,
}

/// The prefix of a first line that holds a record.
const RECORD_PREFIX: &str = "; azureway-change ";

impl<'a> StoredDocument<'a> {
    /// Splits a stored value into record and text. The record is absent if the value was written
    /// without one or if it cannot be parsed.
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

    /// Returns the value that stores `text` and the record of the change that produced it.
    pub fn encode(record: &ChangeRecord, text: &str) -> String {
        let mut body = ChangeBody::new(record);
        body.sections.iter_mut().for_each(|s| s.after = None);
        // Serialization cannot fail: a record consists of strings and numbers only.
        let line = serde_json::to_string(&body).unwrap_or_default();
        format!("{RECORD_PREFIX}{line}\n{text}")
    }

    /// Returns the document as a snapshot at `version`.
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

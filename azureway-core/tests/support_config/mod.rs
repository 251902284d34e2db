//! Fakes and helpers for the tests of edits.

mod race;
mod store;

use azureway_core::config::{ChangeTime, DocumentCheck, Sections};
use azureway_core::prelude::*;

pub(crate) use race::Race;
pub(crate) use store::Store;

/// A check that rejects every document in which a value is `bad`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Check;

impl DocumentCheck for Check {
    type Faults = ();

    fn check(&self, text: &str) -> std::result::Result<(), ()> {
        if text.contains("= bad") {
            Err(())
        } else {
            Ok(())
        }
    }
}

/// Returns the metadata of change `id` by `team`.
pub(crate) fn metadata(id: &str, team: &str) -> ChangeMetadata {
    ChangeMetadata::new(
        ChangeId::new(id),
        "ana",
        TeamId::new(team),
        ChangeTime::new(0),
    )
}

/// Parses a table cell into a document.
pub(crate) fn document(cell: &str) -> String {
    let words = cell.split_whitespace().filter(|w| *w != "-");
    let sections = words.map(|word| {
        let parts: Vec<&str> = word.split(':').collect();
        let team = match parts[1] {
            "" => String::new(),
            team => format!("team = {team}\n"),
        };
        format!("[{}]\n{team}value = {}\n", parts[0], parts[2])
    });
    sections.collect()
}

/// Formats a document as a table cell.
pub(crate) fn format_cell(text: &str) -> String {
    let sections = Sections::parse(text);
    let mut words: Vec<String> = sections
        .iter()
        .map(|s| {
            let value = s.text.rsplit(' ').next().unwrap_or_default();
            let team = if s.text.contains("team") {
                s.team()
            } else {
                ""
            };
            format!("{}:{team}:{value}", s.name)
        })
        .collect();
    words.sort();
    words.join(" ")
}

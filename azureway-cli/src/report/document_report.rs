//! The text that `config get` prints and `config put` reads, with its version line.

use std::fmt;

use azureway_core::config::Snapshot;
use serde::Serialize;

/// The document for an operator to edit. The first line of its text form names its version.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DocumentReport<'a> {
    version: u64,
    text: &'a str,
}

/// The beginning of the version line.
const VERSION_PREFIX: &str = "; azureway-version ";

impl<'a> DocumentReport<'a> {
    pub(crate) fn new(snapshot: &'a Snapshot) -> Self {
        let (version, text) = (snapshot.version.get(), &*snapshot.text);
        Self { version, text }
    }

    /// Splits an edited document into the version that its first line names, if it does, and its
    /// text.
    pub(crate) fn split(document: &str) -> (Option<u64>, &str) {
        let split = document.strip_prefix(VERSION_PREFIX);
        let Some((version, text)) = split.and_then(|d| d.split_once('\n')) else {
            return (None, document);
        };
        (version.trim().parse().ok(), text)
    }
}

impl fmt::Display for DocumentReport<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{VERSION_PREFIX}{}\n{}", self.version, self.text)
    }
}

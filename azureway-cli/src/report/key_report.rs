//! A new API key.

use std::fmt;

use serde::Serialize;

/// A new API key, shown once.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct KeyReport<'a> {
    key: &'a str,
}

impl<'a> KeyReport<'a> {
    pub(crate) const fn new(key: &'a str) -> Self {
        Self { key }
    }
}

impl fmt::Display for KeyReport<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}\nThis key is shown once; it is good if the change below is accepted.",
            self.key
        )
    }
}

//! The report of `account add-key`, the only place where the new API key is shown.

use std::fmt;

use serde::Serialize;

/// A new API key. It is shown only once, since the document stores only its digest.
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
            "{}\nThis key is shown once; it is valid only if the change below is accepted.",
            self.key
        )
    }
}

//! Wraps the reports of a command that prints several.

use std::fmt;

use serde::Serialize;

/// Reports of one kind, printed one after the other and serialised as a JSON array.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct ReportList<T>(pub(crate) Vec<T>);

impl<T: fmt::Display> fmt::Display for ReportList<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|report| report.fmt(f))
    }
}

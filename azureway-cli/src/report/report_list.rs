//! Several reports.

use std::fmt;

use serde::Serialize;

/// Several reports, one after the other.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct ReportList<T>(pub(crate) Vec<T>);

impl<T: fmt::Display> fmt::Display for ReportList<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|report| report.fmt(f))
    }
}

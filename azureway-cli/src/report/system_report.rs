//! The output of `status`: all queried entry instances, then the leases.

use std::fmt;

use serde::Serialize;

use super::{LeaseReport, StatusReport};

/// The state of the queried entry instances, and the leases in the platform.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SystemReport {
    entries: Vec<StatusReport>,
    leases: Vec<LeaseReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

impl SystemReport {
    pub(crate) fn new(entries: Vec<StatusReport>) -> Self {
        let (leases, error) = (Vec::new(), None);
        Self {
            entries,
            leases,
            error,
        }
    }

    /// Sets the leases.
    #[must_use]
    pub(crate) fn with_leases(mut self, leases: Vec<LeaseReport>) -> Self {
        self.leases = leases;
        self
    }

    /// Sets the error with which the read of the leases failed.
    #[must_use]
    pub(crate) fn with_error(mut self, error: impl fmt::Display) -> Self {
        self.error = Some(error.to_string());
        self
    }
}

impl fmt::Display for SystemReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.entries.iter().try_for_each(|entry| entry.fmt(f))?;
        self.leases.iter().try_for_each(|lease| lease.fmt(f))?;
        match &self.error {
            Some(error) => writeln!(f, "leases unknown: {error}"),
            None => Ok(()),
        }
    }
}

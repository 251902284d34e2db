//! The quarantine of a part of prompts, as it outlasts the entries that found it.

use super::CrashReport;
use crate::domain::PartKey;

/// A quarantined part and the crash reports that quarantine it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// The part.
    pub part: PartKey,
    /// The crash reports about the part.
    pub reports: Vec<CrashReport>,
}

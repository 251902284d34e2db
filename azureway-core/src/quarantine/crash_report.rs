//! A report between entries that a request or a part of prompts may have crashed a backend server.

use std::time::Duration;

use super::{CrashReportState, CrashSite, CrashSubject};

/// The report that a request, or a request with a certain part, was running when a backend server
/// failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request or the part of prompts.
    pub subject: CrashSubject,
    /// The server that failed, and its incarnation.
    pub site: CrashSite,
    /// The state of the evidence.
    pub state: CrashReportState,
    /// The remaining time for which the report counts. Forwarding a report never extends it.
    pub ttl: Duration,
}

impl CrashReport {
    /// The time for which a new crash report counts.
    pub const TTL: Duration = Duration::from_secs(600);

    /// Creates a crash report that counts for `ttl`.
    pub const fn new(
        subject: CrashSubject,
        site: CrashSite,
        state: CrashReportState,
        ttl: Duration,
    ) -> Self {
        Self {
            subject,
            site,
            state,
            ttl,
        }
    }
}

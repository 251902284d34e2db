//! A stored crash report about a quarantined part.

use azureway_core::prelude::{
    CrashReport, CrashReportState, CrashSite, CrashSubject, Incarnation, PartKey, ServerId,
};
use serde::{Deserialize, Serialize};

/// The crash of one backend server that a part was at.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ReportBody {
    /// The server.
    pub server: String,
    /// The incarnation of the server that ended.
    pub incarnation: u64,
    /// Whether the server is known to have restarted since.
    pub confirmed: bool,
}

impl ReportBody {
    /// Returns the crash report about `part`, with the whole time for which a report counts.
    pub fn report(&self, part: PartKey) -> CrashReport {
        let server = ServerId::new(&self.server);
        let site = CrashSite::new(server, Incarnation::new(self.incarnation));
        let state = match self.confirmed {
            true => CrashReportState::Confirmed,
            false => CrashReportState::Unconfirmed,
        };
        CrashReport::new(CrashSubject::Part(part), site, state, CrashReport::TTL)
    }
}

impl From<&CrashReport> for ReportBody {
    fn from(report: &CrashReport) -> Self {
        Self {
            server: report.site.server.as_str().to_owned(),
            incarnation: report.site.incarnation.get(),
            confirmed: report.state == CrashReportState::Confirmed,
        }
    }
}

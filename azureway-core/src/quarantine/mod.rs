//! Quarantine of requests that crash backend servers, sparing those that only ran beside them.

mod crash_guard;
mod crash_report;
mod crash_report_set;
mod crash_report_state;
mod crash_site;
mod isolation;
mod quarantined;
mod suspect_status;

pub use crash_guard::CrashGuard;
pub use crash_report::CrashReport;
pub use crash_report_set::CrashReportSet;
pub use crash_report_state::CrashReportState;
pub use crash_site::CrashSite;
pub use isolation::Isolation;
pub use quarantined::Quarantine;
pub use suspect_status::SuspectStatus;

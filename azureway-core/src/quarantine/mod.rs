//! Quarantine of requests and parts of prompts that crash backend servers, sparing those that only
//! ran beside them.

mod answered_parts;
mod crash_guard;
mod crash_report;
mod crash_report_set;
mod crash_report_state;
mod crash_site;
mod crash_subject;
mod isolation;
mod part_status;
mod quarantine_change;
mod quarantine_record;
mod quarantined;
mod stored_parts;
mod stored_report;
mod suspect_status;

pub use answered_parts::AnsweredParts;
pub use crash_guard::CrashGuard;
pub use crash_report::CrashReport;
pub use crash_report_set::CrashReportSet;
pub use crash_report_state::CrashReportState;
pub use crash_site::CrashSite;
pub use crash_subject::CrashSubject;
pub use isolation::Isolation;
pub use quarantine_change::QuarantineChange;
pub use quarantine_record::QuarantineRecord;
pub use quarantined::Quarantine;
pub use stored_parts::StoredParts;
pub use stored_report::StoredReport;
pub use suspect_status::SuspectStatus;

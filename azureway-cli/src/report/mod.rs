//! The reports that the commands print, as text or as JSON.

mod account_report;
mod check_report;
mod diff_report;
mod digests;
mod document_report;
mod drain_report;
mod edit_report;
mod explain_report;
mod fault_body;
mod history_report;
mod key_report;
mod lease_report;
mod line_diff;
mod report_list;
mod status_report;
mod system_report;

pub(crate) use account_report::AccountReport;
pub(crate) use check_report::CheckReport;
pub(crate) use diff_report::DiffReport;
pub(crate) use document_report::DocumentReport;
pub(crate) use drain_report::DrainReport;
pub(crate) use edit_report::EditReport;
pub(crate) use explain_report::ExplainReport;
pub(crate) use fault_body::FaultBody;
pub(crate) use history_report::HistoryReport;
pub(crate) use key_report::KeyReport;
pub(crate) use lease_report::LeaseReport;
pub(crate) use report_list::ReportList;
pub(crate) use status_report::StatusReport;
pub(crate) use system_report::SystemReport;

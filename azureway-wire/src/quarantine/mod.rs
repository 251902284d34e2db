//! The quarantine of a part of prompts as the platform stores it, in JSON.

mod quarantine_body;
mod report_body;

pub use quarantine_body::QuarantineBody;
pub use report_body::ReportBody;

/// The kind of the objects that store quarantined parts; they are named after the parts.
pub const QUARANTINE_KIND: &str = "quarantines";

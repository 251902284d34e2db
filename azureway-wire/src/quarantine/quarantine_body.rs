//! A quarantined part with its crash reports.

use azureway_core::prelude::{Error, ErrorKind, PartKey, QuarantineRecord, Step};
use serde::{Deserialize, Serialize};

use super::ReportBody;

/// The stored form of a quarantined part.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct QuarantineBody {
    /// The key of the part, as 32 hexadecimal digits.
    pub part: String,
    /// The time at which the quarantine ends, in seconds since the Unix epoch by the writer's clock.
    pub until: u64,
    /// The crashes that the part was at.
    pub reports: Vec<ReportBody>,
}

impl QuarantineBody {
    /// Creates the stored form of a quarantine that ends at `until`, in seconds since the Unix epoch.
    pub fn new(record: &QuarantineRecord, until: u64) -> Self {
        Self {
            part: record.part.to_string(),
            until,
            reports: record.reports.iter().map(ReportBody::from).collect(),
        }
    }
}

impl TryFrom<&QuarantineBody> for QuarantineRecord {
    type Error = Error;

    fn try_from(body: &QuarantineBody) -> Result<Self, Error> {
        let part: PartKey = body.part.parse().map_err(|e| {
            let detail = format_args!("invalid part: {e}");
            Error::new(ErrorKind::Protocol, Step::new("read quarantine"), detail)
        })?;
        let reports = body.reports.iter().map(|r| r.report(part)).collect();
        Ok(Self { part, reports })
    }
}

//! The form of a document's fault in reports.

use azureway_config::ini::Fault;
use serde::Serialize;

/// A fault of a document, in JSON.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct FaultBody {
    line: u32,
    section: Box<str>,
    key: Option<Box<str>>,
    detail: Box<str>,
}

impl From<&Fault> for FaultBody {
    fn from(fault: &Fault) -> Self {
        let Fault {
            line,
            section,
            key,
            detail,
        } = fault.clone();
        Self {
            line,
            section,
            key,
            detail,
        }
    }
}

/// Returns a count of faults with its noun, such as `2 faults`.
pub(super) fn format_count(number: usize) -> String {
    match number {
        1 => "1 fault".to_owned(),
        number => format!("{number} faults"),
    }
}

//! The operators' document and its audit trail as the platform stores them.

mod change_body;
mod section_body;
mod stored_document;

pub use change_body::ChangeBody;
pub use section_body::SectionBody;
pub use stored_document::StoredDocument;

use azureway_core::config::ChangeTime;

/// The kind of the object that holds the document.
pub const DOCUMENT_KIND: &str = "config";
/// The name of the object that holds the document.
pub const DOCUMENT_NAME: &str = "document";
/// The maximum size of an object's value, in bytes.
pub const VALUE_MAX: usize = 1024 * 1024;

/// Returns the object kind under which the records of a day are archived. The objects are named
/// after the identifiers of the changes.
pub fn archive_kind(time: ChangeTime) -> String {
    format!("change-{}", time.date())
}

//! The error that the conversions of peer messages return.

use azureway_core::prelude::{Error, ErrorKind, Step};

/// The step named in errors of reading peer messages.
const STEP: Step = Step::new("read peer message");

/// Returns the error of a message whose `field` is missing or out of range.
pub(super) fn invalid_field(field: &str) -> Error {
    Error::new(
        ErrorKind::Protocol,
        STEP,
        format_args!("field {field} is missing or out of range"),
    )
}

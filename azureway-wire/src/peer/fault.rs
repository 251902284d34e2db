//! Messages that their interface does not allow.

use azureway_core::prelude::{Error, ErrorKind, Step};

/// The step at which messages of peers are read.
const STEP: Step = Step::new("read peer message");

/// Returns the error of a message whose `field` is missing or out of range.
pub(super) fn fault(field: &str) -> Error {
    Error::new(ErrorKind::Protocol, STEP, format_args!("bad field {field}"))
}

//! The states of an edit, with the data that each step needs.

use super::{AcceptedChange, ConditionalWrite, EditOutcome, Snapshot};

/// The state of an edit.
#[derive(Clone, Debug)]
pub(super) enum EditState<F> {
    /// The document must be read.
    Reading,
    /// The record of the document's last change must be archived before the write replaces it.
    Archiving(AcceptedChange, ConditionalWrite),
    /// The document must be written.
    Writing(ConditionalWrite),
    /// The document was read, and an earlier write without an answer must be looked up.
    Finding(Snapshot),
    /// The edit has ended.
    Done(EditOutcome<F>),
}

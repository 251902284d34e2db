//! Where an edit stands.

use super::{AcceptedChange, ConditionalWrite, EditOutcome, Snapshot};

/// Where an edit stands.
#[derive(Clone, Debug)]
pub(super) enum EditState<F> {
    /// The document is to be read.
    Reading,
    /// The record of the last change is to be archived before the plan is carried out.
    Archiving(AcceptedChange, ConditionalWrite),
    /// The plan is to be carried out.
    Writing(ConditionalWrite),
    /// The document was read, and an earlier write is to be looked up.
    Finding(Snapshot),
    /// The edit is over.
    Done(EditOutcome<F>),
}

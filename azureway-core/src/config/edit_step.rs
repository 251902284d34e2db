//! The output of an edit: the next operation on the store.

use super::{AcceptedChange, ChangeMetadata, ConditionalWrite};

/// The next step of an edit, for its driver to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditStep<'a> {
    /// Read the document; the reply is `Read` or `Failed`.
    Read,
    /// Create the archived record of a change unless it exists; the reply is `Archived` or
    /// `Failed`.
    Archive(&'a AcceptedChange),
    /// Write the document if it has the expected version; the reply is `Written`,
    /// `VersionMismatch`, `TooLarge` or `NoAnswer`.
    Write(&'a ConditionalWrite),
    /// Look the change up among the archived records; the reply is `Found` or `Failed`.
    Find(&'a ChangeMetadata),
    /// The edit has ended.
    Done,
}

//! What an edit wants done next.

use super::{AcceptedChange, ChangeMetadata, ConditionalWrite};

/// What an edit wants done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditStep<'a> {
    /// Read the document; the reply is `Read` or `Failed`.
    Read,
    /// Create the archived record of a change unless it exists; the reply is `Archived` or
    /// `Failed`.
    Archive(&'a AcceptedChange),
    /// Write the document on its condition; the reply is `Written`, `VersionMismatch`, `TooLarge` or
    /// `NoAnswer`.
    Write(&'a ConditionalWrite),
    /// Look the change up among the archived records; the reply is `Found` or `Failed`.
    Find(&'a ChangeMetadata),
    /// The edit is over.
    Done,
}

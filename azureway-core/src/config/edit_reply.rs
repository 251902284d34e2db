//! What came of a step of an edit.

use super::Snapshot;
use crate::domain::ConfigVersion;

/// What came of a step of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditReply {
    /// The document, or the empty snapshot where none exists.
    Read(Snapshot),
    /// The archived record exists, from now on or since before.
    Archived,
    /// The document was written and has this version.
    Written(ConfigVersion),
    /// The document has another version than expected: this write took no effect.
    VersionMismatch,
    /// The document and its record have this many bytes, more than the store holds.
    TooLarge(usize),
    /// No answer came: the write may have taken effect, or may yet do so.
    NoAnswer,
    /// The version that the change made, if an archived record has it.
    Found(Option<ConfigVersion>),
    /// A step that changes nothing failed, or one that may be repeated.
    Failed,
}

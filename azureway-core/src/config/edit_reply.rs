//! The input of an edit: what the store answered to a step.

use super::Snapshot;
use crate::domain::ConfigVersion;

/// The result of a step of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditReply {
    /// The document was read; the snapshot is empty if none exists.
    Read(Snapshot),
    /// The archived record exists, whether it was created now or earlier.
    Archived,
    /// The document was written and has this version.
    Written(ConfigVersion),
    /// The document has another version than expected, so this write took no effect.
    VersionMismatch,
    /// The document and its record have this size in bytes, which is more than the store holds.
    TooLarge(usize),
    /// No answer came; the write may have taken effect or may still do so.
    NoAnswer,
    /// The lookup ended, with the version that the change created if its record is archived.
    Found(Option<ConfigVersion>),
    /// A step failed that changes nothing or that may be repeated.
    Failed,
}

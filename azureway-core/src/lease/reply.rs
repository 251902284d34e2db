//! What the platform said of a lease.

use super::LeaseRecord;

/// What the platform said of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The write took effect; the object has this version.
    Written(u64),
    /// The object has another version, and the write did not take effect.
    Conflict,
    /// No answer came, or none that tells whether a write took effect.
    NoAnswer,
    /// The object exists with this version.
    Found(u64, LeaseRecord),
    /// The object does not exist.
    Absent,
}

//! The input of the lease protocol: what the platform answered to a step.

use super::LeaseRecord;

/// The platform's reply to a lease step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The write took effect, and the object has this version.
    Written(u64),
    /// The object has another version, so the write did not take effect.
    Conflict,
    /// The store was restored from a copy, so nothing that was known of the object holds.
    Restored,
    /// No response arrived, or none that tells whether the write took effect.
    NoAnswer,
    /// The object exists with this version.
    Found(u64, LeaseRecord),
    /// The object does not exist.
    Absent,
}

//! What the platform said to one call.

use super::ClaimRecord;

/// What the platform said to one call for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The write took effect; the object has this version.
    Written(u64),
    /// The object has another version than expected, and the write did not take effect.
    Conflict,
    /// No answer came, or none that tells whether a write took effect.
    Lost,
    /// The platform limits calls. A write did not take effect.
    Limited,
    /// The object exists with this version.
    Found(u64, ClaimRecord),
    /// The object does not exist.
    Absent,
}

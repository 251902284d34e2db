//! The replies of the platform, which decide the next call for a claim.

use super::ClaimRecord;

/// The platform's reply to one call for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The write took effect. The object has this version.
    Written(u64),
    /// The object does not have the expected version. The write did not take effect.
    Conflict,
    /// No answer arrived, or none that says whether the write took effect.
    Lost,
    /// The platform rejected the call by its rate limit. The write did not take effect.
    Limited,
    /// The object exists with this version and record.
    Found(u64, ClaimRecord),
    /// The object does not exist.
    Absent,
}

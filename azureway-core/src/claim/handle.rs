//! A claim that this entry holds.

use super::{ClaimName, ClaimNonce, ClaimRecord, ClaimState, ShortAnswer};
use crate::domain::{Fingerprint, RequestId};

/// A claim that this entry holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimHandle {
    /// The request that the claim is for.
    pub id: RequestId,
    /// The name of the claim.
    pub name: ClaimName,
    /// What the request has in common with the same request sent again.
    pub fingerprint: Fingerprint,
    /// The version of the object, or 0 if it is not known whether the object was written.
    pub version: u64,
}

impl ClaimHandle {
    /// Returns the record of the finished claim.
    pub fn finished(&self, answer: Option<ShortAnswer>) -> ClaimRecord {
        ClaimRecord {
            nonce: ClaimNonce::of(self.id),
            fingerprint: self.fingerprint,
            state: ClaimState::Finished(answer),
        }
    }
}

//! Identifies a claim of this entry, so that it can be finished or released.

use super::{ClaimName, ClaimNonce, ClaimRecord, ClaimState, ShortAnswer};
use crate::domain::{Fingerprint, RequestId};

/// A handle to a claim that this entry holds or may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimHandle {
    /// The request that the claim is for.
    pub id: RequestId,
    /// The name of the claim.
    pub name: ClaimName,
    /// The fingerprint of the request, which identical requests share.
    pub fingerprint: Fingerprint,
    /// The version of the object, or 0 if it is not known whether the object was written.
    pub version: u64,
}

impl ClaimHandle {
    /// Returns the record of the claim after its request has run to completion.
    pub fn finished(&self, answer: Option<ShortAnswer>) -> ClaimRecord {
        ClaimRecord {
            nonce: ClaimNonce::of(self.id),
            fingerprint: self.fingerprint,
            state: ClaimState::Finished(answer),
        }
    }
}

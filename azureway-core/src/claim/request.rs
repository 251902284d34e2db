//! The wish for a claim.

use super::{ClaimName, ClaimNonce, ClaimRecord};
use crate::domain::{Fingerprint, RequestId, Timestamp};

/// The wish for a claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The request that the claim is for.
    pub id: RequestId,
    /// The name of the claim.
    pub name: ClaimName,
    /// What the request has in common with the same request sent again.
    pub fingerprint: Fingerprint,
    /// When the claim is no longer of use.
    pub deadline: Timestamp,
}

impl ClaimRequest {
    /// Returns the record to be created.
    pub fn record(&self) -> ClaimRecord {
        ClaimRecord::open(ClaimNonce::of(self.id), self.fingerprint)
    }
}

//! The data from which a claim is created.

use super::{ClaimName, ClaimNonce, ClaimRecord};
use crate::domain::{Fingerprint, RequestId, Timestamp};

/// A request for a claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The request that the claim is for.
    pub id: RequestId,
    /// The name of the claim.
    pub name: ClaimName,
    /// The fingerprint of the request, which identical requests share.
    pub fingerprint: Fingerprint,
    /// The time after which the claim is no longer needed.
    pub deadline: Timestamp,
}

impl ClaimRequest {
    /// Returns the record to create.
    pub fn record(&self) -> ClaimRecord {
        ClaimRecord::open(ClaimNonce::of(self.id), self.fingerprint)
    }
}

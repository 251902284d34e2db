//! The content of the object that stores a claim at the platform.

use super::{ClaimNonce, ClaimState};
use crate::domain::Fingerprint;

/// A claim as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The nonce of the holder.
    pub nonce: ClaimNonce,
    /// The fingerprint of the request, which identical requests share.
    pub fingerprint: Fingerprint,
    /// The execution state of the request.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// Creates the record of a claim whose request has not been sent yet.
    pub const fn open(nonce: ClaimNonce, fingerprint: Fingerprint) -> Self {
        Self {
            nonce,
            fingerprint,
            state: ClaimState::Open,
        }
    }
}

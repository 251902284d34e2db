//! A claim as the platform holds it.

use super::{ClaimNonce, ClaimState};
use crate::domain::Fingerprint;

/// A claim as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The mark of the holder.
    pub nonce: ClaimNonce,
    /// What the claimed request has in common with the same request sent again.
    pub fingerprint: Fingerprint,
    /// How far the run has come.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// Creates a claim whose request has not been sent yet.
    pub const fn open(nonce: ClaimNonce, fingerprint: Fingerprint) -> Self {
        Self {
            nonce,
            fingerprint,
            state: ClaimState::Open,
        }
    }
}

//! Distinguishes the claims of this entry from those of other requests.

use crate::domain::RequestId;

name_type! {
    /// The nonce by which an entry recognises its own claim after a lost answer.
    ClaimNonce
}

impl ClaimNonce {
    /// Returns the nonce of a request. Request identifiers are unique over all entry processes.
    pub fn of(id: RequestId) -> Self {
        Self::new(&id.to_string())
    }
}

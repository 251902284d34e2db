//! The mark by which an entry knows its own claim again.

use crate::domain::RequestId;

name_type! {
    /// The mark by which an entry knows its own claim again after a lost answer.
    ClaimNonce
}

impl ClaimNonce {
    /// Returns the nonce of a request. Identities are unique over all entry processes.
    pub fn of(id: RequestId) -> Self {
        Self::new(&id.to_string())
    }
}

//! The states that one claim goes through at this entry.

use super::{ClaimHandle, ClaimName};
use crate::domain::{Attempt, Request};

/// This entry's state of one claim, from the request for it to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackedClaim {
    /// The claim was requested and the platform has not answered yet.
    Requested(Box<Request>),
    /// The request was refused or its caller disconnected before the platform answered.
    Abandoned(ClaimHandle),
    /// The claim is held and the request waits for a backend server.
    Held(ClaimHandle),
    /// The request was sent in this attempt. The flag is set if its caller has disconnected.
    Sent(ClaimHandle, Attempt, bool),
    /// The claim is being finished or released.
    Closing(ClaimName),
}

impl TrackedClaim {
    /// Returns the name of the claim that a request needs.
    ///
    /// # Panics
    ///
    /// Panics if the request has no idempotency key.
    pub fn name_of(request: &Request) -> ClaimName {
        let key = request
            .idempotency_key
            .as_ref()
            .expect("a claimed request has an idempotency key");
        ClaimName::of(&request.account, key)
    }

    /// Returns the name of the claim.
    pub fn name(&self) -> ClaimName {
        match self {
            Self::Requested(request) => Self::name_of(request),
            Self::Abandoned(handle) | Self::Held(handle) | Self::Sent(handle, ..) => handle.name,
            Self::Closing(name) => *name,
        }
    }
}

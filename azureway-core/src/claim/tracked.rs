//! What the book knows of one claim.

use super::{ClaimHandle, ClaimName};
use crate::domain::{Attempt, Request};

/// What the book knows of one claim, from the wish for it to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackedClaim {
    /// The platform is being asked.
    Requested(Box<Request>),
    /// The request was refused, or its caller left, before the platform had answered.
    Abandoned(ClaimHandle),
    /// The claim is held and the request waits.
    Held(ClaimHandle),
    /// The request was sent. The flag tells whether its caller has left.
    Sent(ClaimHandle, Attempt, bool),
    /// The claim is being finished or given back.
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
            .expect("a claim is asked for a key");
        ClaimName::of(&request.account, key)
    }

    /// Returns the name of the claim.
    pub fn name(&self) -> ClaimName {
        match self {
            Self::Requested(request) => Self::name_of(request),
            Self::Abandoned(ticket) | Self::Held(ticket) | Self::Sent(ticket, ..) => ticket.name,
            Self::Closing(name) => *name,
        }
    }
}

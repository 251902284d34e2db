//! What the book knows of one claim.

use super::{ClaimName, ClaimTicket};
use crate::domain::{Attempt, Request, Timestamp};

/// What the book knows of one claim, from the wish for it to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldClaim {
    /// The platform is being asked, until this time.
    Asking(Box<Request>, Timestamp),
    /// The request was refused, or its caller left, before the platform had answered.
    Dropped(ClaimTicket),
    /// The claim is held and the request waits.
    Held(ClaimTicket),
    /// The request was sent. The flag tells whether its caller has left.
    Sent(ClaimTicket, Attempt, bool),
    /// The claim is being finished or given back.
    Settling(ClaimName),
}

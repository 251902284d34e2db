//! The calls that one wish of the book takes.

use super::{ClaimAsking, ClaimCall, ClaimReply, ClaimSettling, ClaimStep};

/// The calls that one wish of the book takes, whatever it is.
#[derive(Clone, Debug)]
pub enum ClaimRun {
    /// A claim is being created.
    Asking(ClaimAsking),
    /// A claim is being finished or given back.
    Settling(ClaimSettling),
}

impl ClaimRun {
    /// Creates the calls for a wish.
    pub fn new(call: &ClaimCall) -> Self {
        match call {
            ClaimCall::Ask(ask) => Self::Asking(ClaimAsking::new(ask.id)),
            ClaimCall::Finish(ticket) => Self::Settling(ClaimSettling::finish(ticket)),
            ClaimCall::Release(ticket) => Self::Settling(ClaimSettling::release(ticket)),
        }
    }

    /// Returns the first call.
    pub fn first(&self) -> ClaimStep {
        match self {
            Self::Asking(asking) => asking.first(),
            Self::Settling(settling) => settling.first(),
        }
    }

    /// Returns what follows from the reply to the last call.
    pub fn next(&mut self, reply: ClaimReply) -> ClaimStep {
        match self {
            Self::Asking(asking) => asking.next(reply),
            Self::Settling(settling) => settling.next(reply),
        }
    }

    /// Returns the calls that have had no useful answer.
    pub const fn failures(&self) -> u32 {
        match self {
            Self::Asking(asking) => asking.failures(),
            Self::Settling(settling) => settling.failures(),
        }
    }
}

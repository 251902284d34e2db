//! The calls that one wish of the book takes.

use super::{ClaimClosing, ClaimCommand, ClaimCreation, ClaimReply, ClaimStep};

/// The calls that one wish of the book takes, whatever it is.
#[derive(Clone, Debug)]
pub enum ClaimOperation {
    /// A claim is being created.
    Asking(ClaimCreation),
    /// A claim is being finished or given back.
    Settling(ClaimClosing),
}

impl ClaimOperation {
    /// Creates the calls for a wish.
    pub fn new(call: &ClaimCommand) -> Self {
        match call {
            ClaimCommand::Ask(ask) => Self::Asking(ClaimCreation::new(ask.id)),
            ClaimCommand::Finish(ticket) => Self::Settling(ClaimClosing::finish(ticket)),
            ClaimCommand::Release(ticket) => Self::Settling(ClaimClosing::release(ticket)),
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

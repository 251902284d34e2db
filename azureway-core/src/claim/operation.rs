//! The calls that one wish of the book takes.

use super::{ClaimClosing, ClaimCommand, ClaimCreation, ClaimReply, ClaimStep};

/// The calls that one wish of the book takes, whatever it is.
#[derive(Clone, Debug)]
pub enum ClaimOperation {
    /// A claim is being created.
    Creating(ClaimCreation),
    /// A claim is being finished or given back.
    Closing(ClaimClosing),
}

impl ClaimOperation {
    /// Creates the calls for a wish.
    pub fn new(call: &ClaimCommand) -> Self {
        match call {
            ClaimCommand::Create(ask) => Self::Creating(ClaimCreation::new(ask.id)),
            ClaimCommand::Finish(ticket) => Self::Closing(ClaimClosing::finish(ticket)),
            ClaimCommand::Release(ticket) => Self::Closing(ClaimClosing::release(ticket)),
        }
    }

    /// Returns the first call.
    pub fn first(&self) -> ClaimStep {
        match self {
            Self::Creating(asking) => asking.first(),
            Self::Closing(settling) => settling.first(),
        }
    }

    /// Returns what follows from the reply to the last call.
    pub fn next(&mut self, reply: ClaimReply) -> ClaimStep {
        match self {
            Self::Creating(asking) => asking.next(reply),
            Self::Closing(settling) => settling.next(reply),
        }
    }

    /// Returns the calls that have had no useful answer.
    pub const fn failures(&self) -> u32 {
        match self {
            Self::Creating(asking) => asking.failures(),
            Self::Closing(settling) => settling.failures(),
        }
    }
}

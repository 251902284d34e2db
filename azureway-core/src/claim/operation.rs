//! Carries out one claim command as a series of platform calls.

use super::{ClaimClosing, ClaimCommand, ClaimCreation, ClaimReply, ClaimStep};

/// The platform calls that one [`ClaimCommand`] takes.
#[derive(Clone, Debug)]
pub enum ClaimOperation {
    /// A claim is being created.
    Creating(ClaimCreation),
    /// A claim is being finished or released.
    Closing(ClaimClosing),
}

impl ClaimOperation {
    /// Creates the calls for a command.
    pub fn new(command: &ClaimCommand) -> Self {
        match command {
            ClaimCommand::Create(request) => Self::Creating(ClaimCreation::new(request.id)),
            ClaimCommand::Finish(handle) => Self::Closing(ClaimClosing::finish(handle)),
            ClaimCommand::Release(handle) => Self::Closing(ClaimClosing::release(handle)),
        }
    }

    /// Returns the first call.
    pub fn first(&self) -> ClaimStep {
        match self {
            Self::Creating(creation) => creation.first(),
            Self::Closing(closing) => closing.first(),
        }
    }

    /// Returns the step that follows the reply to the last call.
    pub fn next(&mut self, reply: ClaimReply) -> ClaimStep {
        match self {
            Self::Creating(creation) => creation.next(reply),
            Self::Closing(closing) => closing.next(reply),
        }
    }

    /// Returns the number of calls that had no usable answer.
    pub const fn failures(&self) -> u32 {
        match self {
            Self::Creating(creation) => creation.failures(),
            Self::Closing(closing) => closing.failures(),
        }
    }
}

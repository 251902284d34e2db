//! A task that the deciding duty hands to a claiming thread.

use azureway_core::prelude::{ClaimCommand, ShortAnswer};

/// A task for the claiming threads: a command, and the answer to store if it finishes a claim.
#[derive(Clone, Debug)]
pub struct ClaimTask {
    /// The command.
    pub command: ClaimCommand,
    /// The answer to store in the record of a finished claim, if it is short enough.
    pub answer: Option<ShortAnswer>,
}

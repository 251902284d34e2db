//! What the claiming duty is told.

use azureway_core::prelude::{ClaimCommand, ShortAnswer};

/// What the claiming duty is told: a call, and the answer that a finished claim keeps.
#[derive(Clone, Debug)]
pub struct ClaimOrder {
    /// The call.
    pub call: ClaimCommand,
    /// The answer.
    pub answer: Option<ShortAnswer>,
}

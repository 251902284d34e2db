//! The environment's record of an attempt that the entry has sent.

use azureway_core::prelude::Attempt;

/// An attempt in flight between the entry and an engine.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// The index of the engine.
    pub engine: usize,
    /// Whether the connection is silent because its link was cut.
    pub silent: bool,
}

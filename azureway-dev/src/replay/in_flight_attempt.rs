//! A try that is under way, as the replay sees it.

use azureway_core::prelude::Attempt;

/// A try that is under way, as the replay sees it.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// The try.
    pub attempt: Attempt,
    /// The place of the engine.
    pub engine: usize,
    /// Whether the connection has gone silent.
    pub silent: bool,
}

//! A request on its way to an engine.

use azureway_core::prelude::{Attempt, Incarnation};

use super::Task;

/// A request on its way to an engine.
#[derive(Clone, Debug)]
pub struct Transit {
    /// The try.
    pub attempt: Attempt,
    /// The place of the engine.
    pub engine: usize,
    /// The incarnation that the engine must have, if one is known.
    pub incarnation: Option<Incarnation>,
    /// The request.
    pub task: Task,
}

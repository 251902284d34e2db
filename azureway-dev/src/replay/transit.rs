//! A request on its way to an engine, which it reaches after the delay of the link.

use azureway_core::prelude::{Attempt, Incarnation};

use super::Task;

/// A request in transit from the entry to an engine.
#[derive(Clone, Debug)]
pub struct Transit {
    /// The attempt.
    pub attempt: Attempt,
    /// The index of the engine.
    pub engine: usize,
    /// The incarnation that the engine must have, if the entry knows one.
    pub incarnation: Option<Incarnation>,
    /// The task to run.
    pub task: Task,
}
